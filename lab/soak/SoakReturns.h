/** Returns of the store from older copies of itself, in series, beside the other faults of a soak.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/FaultHealing.h"
#include "lab/soak/SoakTimeline.h"
#include "lab/soak/StandInStore.h"

namespace coralhoist::soak {

/** What the returns strike. All outlives them. */
struct ReturnTargets {
    StandInStore& store;
    /** The operator writes the newest configuration again. */
    std::function<void()> writeAgain;
    /** Told when the store goes away and when it is back. */
    std::function<void(bool)> onAway;
    SoakTimeline& timeline;
};

/**
 * The store goes away for a moment and comes back from a copy of some seconds before; others write
 * again what they had written, the proxies have to see for themselves. Times follow from the seed.
 */
class SoakReturns {
public:
    SoakReturns(simulation::EventQueue& queue, std::uint64_t seed, ReturnTargets targets);

    /** Plays returns that begin within the length. */
    void play(Duration length);

    /** The store is back, and stays. */
    void healAll();

    std::size_t begun() const { return _begun; }

private:
    Duration between(std::uint64_t leastMilliseconds, std::uint64_t mostMilliseconds);
    void goAway(Duration away, Duration age, Duration rewrittenAfter);

    simulation::EventQueue& _queue;
    SeededRandom _random;
    ReturnTargets _targets;
    FaultHealing _healing;
    bool _healed = false;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
