/** The way between a node and a server as part of what a statement takes. */
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * A statement on its way holds no slot of the server. Without this a server in another region looks
 * slow, and what it takes is used up by statements that have not reached it or left it already.
 */
struct WayToServer {
    /** The way there and back. */
    Duration roundTrip{0};

    /** @return of the time from sending a statement to its result, the part at the server. */
    Duration atServer(Duration took) const { return std::max(Duration(0), took - roundTrip); }

    /**
     * @param atServer time that statements take at the server.
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
