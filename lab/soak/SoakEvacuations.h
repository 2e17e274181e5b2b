/** An operator who evacuates zones and gives them back, in series. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/EvacuationJudge.h"
#include "lab/soak/SoakTimeline.h"
#include "lab/soak/StandInStore.h"

namespace coralhoist::soak {

/** The bound that the proxies' settings files name. */
constexpr Duration kSoakEvacuationBound = std::chrono::milliseconds(3000);

/**
 * Each zone in turn of chance is asked for and given back 0.3 to 8 s later, so that some are taken
 * back half way; a second one may be asked for meanwhile. Played in place of the other faults; the
 * store's returns may be played beside it. Times follow from the seed.
 */
class SoakEvacuations {
public:
    /** References outlive the evacuations. */
    SoakEvacuations(simulation::EventQueue& queue, std::uint64_t seed, StandInStore& store,
                    SoakTimeline& timeline)
        : _queue(queue), _random(seed), _store(store), _timeline(timeline) {}

    /** Evacuates zones for the length. */
    void play(const std::vector<ZoneName>& zones, Duration length);

    /** All zones are given back, and no further one is asked for. */
    void healAll();

    /** The operator writes again what the store may have lost. */
    void writeAgain();

    /** The store went away, or is back. */
    void onStoreAway(bool away) { _judge.onStoreAway(away, _queue.now()); }

    std::size_t begun() const { return _begun; }
    EvacuationJudge& judge() { return _judge; }

private:
    Duration between(std::uint64_t leastMilliseconds, std::uint64_t mostMilliseconds);
    void ask(const ZoneName& zone);
    void takeBack(const ZoneName& zone);

    simulation::EventQueue& _queue;
    SeededRandom _random;
    StandInStore& _store;
    SoakTimeline& _timeline;
    EvacuationJudge _judge{kSoakEvacuationBound};
    std::set<ZoneName> _asked;
    std::set<ZoneName> _takenBack;
    bool _healed = false;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
