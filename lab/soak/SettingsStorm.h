/** Outages of the store, then lost sources, while the settings change in quick succession. */
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/SystemTime.h"
#include "lab/soak/FaultHealing.h"
#include "lab/soak/SettingsJudge.h"
#include "lab/soak/SoakFaults.h"

namespace coralhoist::soak {

/** What a storm strikes. All outlives it. */
struct StormTargets {
    StoreFaults& store;
    std::vector<std::unique_ptr<ProxyProcess>>& proxies;
    std::vector<std::unique_ptr<FaultyRelay>>& storeRelays;
    RelaysByName& peerRelays;
    SettingsJudge& judge;
    SoakTimeline& timeline;
};

/**
 * Plays rounds: the store is away, comes back, and in the calm after it proxies that others are
 * told by are paused, killed, lose their links or the store; open connections go silent, and the
 * history is forgotten. Rounds follow from the seed. Lives as long as the queue.
 */
class SettingsStorm {
public:
    SettingsStorm(simulation::EventQueue& queue, std::uint64_t seed, StormTargets targets);

    /** Plays rounds that begin within the length. */
    void play(Duration length);

    /** Heals what stands. */
    void healAll() { _healing.healAll(); }

    std::size_t begun() const { return _begun; }

private:
    Duration between(std::uint64_t least, std::uint64_t most);
    Duration playRound(Duration start);
    void at(Duration time, const char* what, std::function<void()> action);
    void outage(Duration start, Duration lasts);
    void loseSources(Duration start);
    void pause(std::size_t proxy, Duration lasts);
    void kill(std::size_t proxy, Duration lasts);
    void cutFromStore(std::size_t proxy, Duration lasts);
    void cutFromPeers(std::size_t proxy, Duration lasts);
    void silenceStoreConnections(std::size_t proxy);
    void trouble(std::size_t proxy, Duration lasts, std::function<void()> heal);

    simulation::EventQueue& _queue;
    SeededRandom _random;
    StormTargets _targets;
    FaultHealing _healing;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
