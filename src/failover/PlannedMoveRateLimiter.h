/** Limits how many planned moves one node begins per second. */
#pragma once

#include <deque>

#include "base/Time.h"

namespace coralhoist::failover {

/**
 * The platform accepts a limited number of promotion calls per second from all nodes together and
 * refuses the rest. A primary that has stepped down for a planned move must not wait for its
 * promotion call behind the calls of other groups, so simultaneous moves of many groups are spread
 * over several seconds.
 */
class PlannedMoveRateLimiter {
public:
    /** @return whether another move may begin now; if so, the move is counted as begun. */
    bool tryAcquire(TimePoint now);

private:
    std::deque<TimePoint> _begun;
};

}  // namespace coralhoist::failover
