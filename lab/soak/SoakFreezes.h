/** Proxies that stand still in the steps of a promotion while others take it over. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/FaultHealing.h"
#include "lab/soak/FaultyRelay.h"
#include "lab/soak/ProxyProcess.h"
#include "lab/soak/ServerFaults.h"
#include "lab/soak/SoakTimeline.h"

namespace coralhoist::soak {

/** What the freezes strike. All outlives them. */
struct FreezeTargets {
    pooled::LogGroup& group;
    ServerEntries& entries;
    std::vector<std::unique_ptr<WireServer>>& servers;
    std::vector<std::unique_ptr<ProxyProcess>>& proxies;
    std::vector<std::unique_ptr<FaultyRelay>>& storeRelays;
    SoakTimeline& timeline;
};

/**
 * In each round a primary crashes, and the proxy that writes the record of its promotion is frozen
 * some time after that, for less or more time than others need to take the promotion over. The
 * connections on which it calls may be slow to open meanwhile. The successor may crash, too.
 */
class SoakFreezes {
public:
    SoakFreezes(simulation::EventQueue& queue, std::uint64_t seed, FreezeTargets targets)
        : _queue(queue),
          _random(seed),
          _targets(targets),
          _healing(queue),
          _servers(_healing, targets.group, targets.entries, targets.servers) {}

    /** Begins rounds for the length. */
    void play(Duration length);

    /** A proxy wrote the record of a promotion. @param announces it names the next primary. */
    void onRecordWritten(const std::string& holder, bool announces);

    /** Ends what stands; no further round begins. */
    void healAll();

    /** @return the number of proxies that were frozen. */
    std::size_t begun() const { return _begun; }

private:
    std::chrono::milliseconds between(std::uint64_t leastMs, std::uint64_t mostMs);
    bool chance(std::uint64_t percent) { return _random.below(100) < percent; }
    void beginRound();
    void crashPrimary(std::chrono::milliseconds time);
    void freeze(ProxyProcess& proxy);
    void fillQueues();
    void emptyQueues();

    simulation::EventQueue& _queue;
    SeededRandom _random;
    FreezeTargets _targets;
    FaultHealing _healing;
    ServerFaults _servers;
    TimePoint _until{};
    /** The next proxy that promotes is to be frozen. */
    bool _armed = false;
    bool _awaitsAnnouncement = false;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
