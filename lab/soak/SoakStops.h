/** Proxies that stop as planned, one after another, while servers refuse or are slow. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/ProxyProcess.h"
#include "lab/soak/SoakTimeline.h"
#include "lab/soak/WireServer.h"

namespace coralhoist::soak {

/** Plays planned work alone: whatever a proxy has read has to be answered. */
class SoakStops {
public:
    /** References outlive the stops. */
    SoakStops(simulation::EventQueue& queue, std::uint64_t seed,
              std::vector<std::unique_ptr<ProxyProcess>>& proxies,
              std::vector<std::unique_ptr<WireServer>>& servers, SoakTimeline& timeline);

    /** Stops proxies and loads servers for the length. */
    void play(Duration length);

    /** Servers do what they can again, and no further proxy stops. */
    void healAll();

    /** @return stops that were begun. */
    std::size_t begun() const { return _begun; }

private:
    void stopNext();
    void restartWhenEnded(ProxyProcess& proxy);
    void loadServers();

    simulation::EventQueue& _queue;
    SeededRandom _random;
    std::vector<std::unique_ptr<ProxyProcess>>& _proxies;
    std::vector<std::unique_ptr<WireServer>>& _servers;
    SoakTimeline& _timeline;
    TimePoint _until{};
    std::size_t _next = 0;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
