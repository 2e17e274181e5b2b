/** Tuning constants of the group executor that are not part of the settings tree. */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/Time.h"

namespace coralhoist::contract {

/** Limits and intervals. The defaults suit round trips of a few milliseconds. */
struct ExecutorKnobs {
    /**
     * Response bytes of an unacknowledged write that are held back; beyond this limit the earlier
     * rows are released.
     */
    std::size_t heldBytesLimit = std::size_t{1} << 20U;
    /**
     * Largest response that is recorded with a request key; a write with a larger response is
     * rolled back and refused.
     */
    std::size_t recordedOutcomeLimit = std::size_t{1} << 20U;
    /**
     * Response bytes that may wait for a slow sink before the proxy stops reading from the
     * connection.
     */
    std::size_t undeliveredBytesLimit = std::size_t{256} << 10U;
    /** Time to wait for the remaining servers after a majority has answered a sample. */
    Duration sampleGracePeriod = std::chrono::milliseconds(3);
    /** Minimum interval between two status queries to one server. */
    Duration sampleSpacing = std::chrono::microseconds(500);
    /** Interval between status queries while the group has no usable primary. */
    Duration searchInterval = std::chrono::milliseconds(20);
    /**
     * Time for which writes to the older primary are suspended after a newer term was seen that no
     * majority confirms.
     */
    Duration unconfirmedTermTimeout = std::chrono::seconds(3);
    /** Initial and maximum backoff before a refused or failed connection attempt is retried. */
    Duration reconnectBackoffMinimum = std::chrono::milliseconds(20);
    Duration reconnectBackoffMaximum = std::chrono::seconds(2);
    /** Connection attempts that exceed this time are abandoned. */
    Duration connectTimeout = std::chrono::seconds(2);
    /**
     * Time after which the connection of an abandoned program is closed if the program has not
     * ended.
     */
    Duration abandonedProgramTimeout = std::chrono::seconds(1);
    /** Delay before a read that no server could serve is routed again. */
    Duration rerouteBackoff = std::chrono::milliseconds(5);
    /** Maximum number of consecutive urgent statements admitted while an ordinary one waits. */
    std::uint32_t urgentBurst = 8;
    /** Retries allowed per hundred first attempts, and the additional burst. */
    std::uint32_t retryPercent = 20;
    std::uint32_t retryBurst = 50;
    /**
     * Interval between two deletions of expired request keys, and the maximum number of rows per
     * deletion.
     */
    Duration keyExpiryInterval = std::chrono::seconds(60);
    std::uint32_t keyExpiryBatch = 500;
};

}  // namespace coralhoist::contract
