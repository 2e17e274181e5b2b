/** Knobs of the platform client. */
#pragma once

#include <chrono>

#include "base/Time.h"
#include "link/platform/ReconnectPolicy.h"

namespace coralhoist::platform {

/** Times of the platform client; all are at least one millisecond. */
struct PlatformClientOptions {
    /** One list, read or write is given up after this long. */
    Duration requestTimeout = std::chrono::seconds(3);
    /** An edit with all its re-reads and repeats ends after this long. */
    Duration editDeadline = std::chrono::seconds(15);
    /**
     * A watch that shows no event and no bookmark for this long counts as broken. Must be above the
     * bookmark interval of the platform.
     */
    Duration watchSilenceLimit = std::chrono::seconds(3);
    /**
     * The tombstone of a deleted node is kept at least this long, at most twice as long. Must be
     * far above editDeadline: while it is kept, a late copy of an edit can't bring the node back.
     */
    Duration tombstoneRetention = std::chrono::hours(1);
    /** Delays between attempts of watches, reads and edits. */
    ReconnectOptions reconnect;
};

}  // namespace coralhoist::platform
