#include "lab/soak/SoakStops.h"

#include <array>
#include <string>

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

/** Time that a stop may take. */
constexpr milliseconds kGrace{6000};
/** Time between two stops: the shortest, and what is added to it at random at most. */
constexpr Duration kShortestGap = milliseconds(1200);
constexpr std::uint64_t kGapSpreadMs = 1500;
/** Time between two looks whether a stopped proxy has ended. */
constexpr Duration kRestartCheck = milliseconds(50);
/** Servers change what they can do so often. */
constexpr Duration kLoadChange = milliseconds(700);

/** What a server can do: as ever, next to nothing, little and slowly, slowly. */
const std::array<ServerLoad, 4> kLoads{{
    {},
    {1, 0, 60, milliseconds(40), milliseconds(120)},
    {1, 2, 60, milliseconds(100), milliseconds(400)},
    {3, 64, 60, milliseconds(300), milliseconds(900)},
}};

}  // namespace

SoakStops::SoakStops(simulation::EventQueue& queue, std::uint64_t seed,
                     std::vector<std::unique_ptr<ProxyProcess>>& proxies,
                     std::vector<std::unique_ptr<WireServer>>& servers, SoakTimeline& timeline)
    : _queue(queue), _random(seed), _proxies(proxies), _servers(servers), _timeline(timeline) {}

void SoakStops::play(Duration length) {
    _until = _queue.now() + length;
    stopNext();
    loadServers();
}

void SoakStops::healAll() {
    _until = _queue.now();
    for (const auto& server : _servers) {
        server->slots().setLoad({});
    }
}

void SoakStops::stopNext() {
    if (_queue.now() >= _until) {
        return;
    }
    ProxyProcess& proxy = *_proxies[_next++ % _proxies.size()];
    if (proxy.isRunning() && !proxy.isStopping()) {
        ++_begun;
        _timeline.note(proxy.surroundings().name.value() + " stops as planned");
        proxy.stop(kGrace);
        restartWhenEnded(proxy);
    }
    _queue.after(kShortestGap + milliseconds(_random.below(kGapSpreadMs)), [this] { stopNext(); });
}

void SoakStops::restartWhenEnded(ProxyProcess& proxy) {
    if (proxy.isRunning()) {
        _queue.after(kRestartCheck, [this, &proxy] { restartWhenEnded(proxy); });
        return;
    }
    proxy.start();
}

void SoakStops::loadServers() {
    if (_queue.now() >= _until) {
        return;
    }
    for (const auto& server : _servers) {
        server->slots().setLoad(kLoads[_random.below(kLoads.size())]);
    }
    _queue.after(kLoadChange, [this] { loadServers(); });
}

}  // namespace coralhoist::soak
