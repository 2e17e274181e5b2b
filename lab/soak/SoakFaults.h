/** Faults that a soak draws at random, begins and heals, all from outside the proxies. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/SystemTime.h"
#include "lab/pooled/LogGroup.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/FaultyRelay.h"
#include "lab/soak/ProxyProcess.h"
#include "lab/soak/StandInStore.h"

namespace coralhoist::soak {

/** Relays by the number of the proxy that uses them and the name of what they lead to. */
using RelaysByName = std::map<std::pair<std::size_t, std::string>, std::unique_ptr<FaultyRelay>>;

/** What faults strike. All outlives the faults. */
struct SoakTargets {
    pooled::LogGroup& group;
    StoreFaults& store;
    std::vector<std::unique_ptr<ProxyProcess>>& proxies;
    std::vector<std::unique_ptr<FaultyRelay>>& storeRelays;
    RelaysByName& serverRelays;
    RelaysByName& peerRelays;
    std::function<void()> changeConfiguration;
};

/** Kinds of faults; one is drawn at a time and healed later. */
enum class SoakFault : std::uint8_t;

/** Draws faults from a seed and heals each after a time. Lives as long as the queue. */
class SoakFaults {
public:
    SoakFaults(simulation::EventQueue& queue, RandomSource& random, SoakTargets targets);

    /** Draws one fault after another until all is healed; several may stand at a time. */
    void play();

    /** Heals what stands; nothing is drawn after it. */
    void healAll();

    /** @return what was done, with times in milliseconds from the start. */
    const std::vector<std::string>& played() const { return _played; }

private:
    void begin(SoakFault fault);
    void heal(std::function<void()> action);
    void runHealing(std::uint64_t number);
    void killProxy();
    void pauseProxy();
    void stopProxy();
    void crashPrimary();
    void isolatePrimary();
    void disturb(FaultyRelay* relay, const RelayFaults& faults);
    ProxyProcess& randomProxy();
    FaultyRelay* randomRelay(const RelaysByName& relays);
    FaultyRelay* randomRelay(const std::vector<std::unique_ptr<FaultyRelay>>& relays);
    pooled::LogServer& primary();
    pooled::LogServer& replica();

    simulation::EventQueue& _queue;
    RandomSource& _random;
    SoakTargets _targets;
    TimePoint _start;
    std::map<std::uint64_t, std::function<void()>> _healings;
    std::uint64_t _lastHealing = 0;
    bool _healed = false;
    std::vector<std::string> _played;
};

}  // namespace coralhoist::soak
