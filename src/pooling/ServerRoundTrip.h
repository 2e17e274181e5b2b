/** The network round trip between a node and a server as part of a statement's time. */
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * A statement in transit does not occupy a slot of the server. If the round trip were not accounted
 * for, a server in another region would appear slow, and its concurrency would be used up by
 * statements that have not reached it yet or have left it already.
 */
struct ServerRoundTrip {
    /** Network time to the server and back. */
    Duration roundTrip{0};

    /** @return the part of the time from sending a statement to its result that is spent at the
     * server. */
    Duration atServer(Duration took) const { return std::max(Duration(0), took - roundTrip); }

    /**
     * @param atServer time that statements spend at the server.
     * @return how many statements are in flight for each one that is at the server.
     */
    double inflightPerRunning(Duration atServer) const {
        if (roundTrip == Duration(0)) {
            return 1;
        }
        const Duration running = std::max(atServer, kLeastRunning);
        return 1 + static_cast<double>(roundTrip.count()) / static_cast<double>(running.count());
    }

private:
    /** Bounds the factor while a server's time is not known. */
    static constexpr Duration kLeastRunning = std::chrono::milliseconds(15);
};

}  // namespace coralhoist::pooling
