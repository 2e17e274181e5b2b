/** Tuning constants of the links between proxies. */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/Time.h"

namespace coralhoist::peer {

/** Largest frame on a peer link; a larger batch is refused as not run. In bytes. */
inline constexpr std::uint32_t kMaximumPeerFrameBytes = 16U << 20U;

/** Most statements of one forwarded batch; a longer one is refused as not run. */
inline constexpr std::size_t kMaximumSteps = std::size_t{1} << 16U;

/** A batch is handed on at most so often: to a proxy of the group's region, and to an owner there.
 */
inline constexpr std::int32_t kMostForwardings = 2;

/** Largest run of messages that a forwarder puts together from fragments. In bytes. */
inline constexpr std::size_t kMaximumReassembledBytes = std::size_t{64} << 20U;

/** Largest response window that an owner grants a request. In bytes. */
inline constexpr std::int64_t kMaximumWindowBytes = std::int64_t{16} << 20U;

/** Bounds of forwarding, the same on both ends. */
struct ForwardingKnobs {
    /** Bytes of one response that may be on their way without a credit. */
    std::size_t windowBytes = std::size_t{256} << 10U;
    /** Largest piece of a response in one frame, so that responses take turns on the link. */
    std::size_t fragmentBytes = std::size_t{32} << 10U;
    /** With more unsent bytes than this, batches and responses wait off the link. */
    std::size_t unsentBytesLimit = std::size_t{1} << 20U;
    /** Batches waiting for a link; more are refused as not run. */
    std::size_t pendingRequestLimit = 4096;
    /** Batches that one peer may have running here; more are refused as not run. */
    std::size_t requestsPerPeerLimit = 16384;
    /** Time after a deadline in which the owner's own answer about it may still come. */
    Duration deadlineMargin = std::chrono::milliseconds(100);
};

/** Timing of the links; the same on all nodes. */
struct LinkTimings {
    /** A link in use carries something at least this often. */
    Duration heartbeatInterval = std::chrono::milliseconds(300);
    /** A link in use that is silent for so long has failed. */
    Duration heartbeatTimeout = std::chrono::milliseconds(1200);
    /** Longest time until a connection stands and both sides have said Hello. */
    Duration connectTimeout = std::chrono::seconds(1);
    /** A link unused for so long is closed. */
    Duration idleTimeout = std::chrono::minutes(5);
    /** First and longest time after a failure in which a peer counts as unreachable. */
    Duration reconnectMinimum = std::chrono::milliseconds(20);
    Duration reconnectMaximum = std::chrono::seconds(2);
    /** Connections that have not said Hello; more are closed at once. */
    std::size_t greetingLimit = 256;
};

}  // namespace coralhoist::peer
