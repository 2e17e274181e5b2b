/** Bounds how many planned moves one node begins in a second. */
#pragma once

#include <deque>

#include "base/Time.h"

namespace coralhoist::failover {

/**
 * The platform takes so many promotion calls a second from all nodes together and refuses the rest.
 * A primary that has stepped down for a planned move must not wait for its call behind others', so
 * moves of many groups at once begin one second after another.
 */
class PromotionPace {
public:
    /** @return whether another move may begin now; it counts as begun then. */
    bool take(TimePoint now);

private:
    std::deque<TimePoint> _begun;
};

}  // namespace coralhoist::failover
