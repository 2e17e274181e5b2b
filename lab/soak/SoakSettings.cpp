#include "lab/soak/SoakSettings.h"

#include <chrono>
#include <utility>

namespace coralhoist::soak {
namespace {

constexpr Duration kChangeGap = std::chrono::milliseconds(200);
/** Databases at a time: each stays for 8 s, longer than the bound. */
constexpr std::size_t kDatabases = 40;

}  // namespace

SoakSettings::SoakSettings(simulation::EventQueue& queue, std::uint64_t seed, StoreFaults& store,
                           std::vector<std::unique_ptr<ProxyProcess>>& proxies,
                           std::vector<std::unique_ptr<FaultyRelay>>& storeRelays,
                           RelaysByName& peerRelays, SoakTimeline& timeline,
                           std::function<void()> write)
    : _queue(queue),
      _proxies(proxies),
      _write(std::move(write)),
      _judge(proxies.size(), {}, queue),
      _storm(queue, seed, {store, proxies, storeRelays, peerRelays, _judge, timeline}) {}

void SoakSettings::play(Duration length) {
    for (std::size_t proxy = 0; proxy < _proxies.size(); ++proxy) {
        _probes.push_back(std::make_unique<SettingsProbe>(
            proxy, _proxies[proxy]->surroundings().callerPort, _judge, _queue));
    }
    _storm.play(length);
    change();
}

void SoakSettings::stop() {
    _stopped = true;
    _probes.clear();
}

void SoakSettings::change() {
    if (_stopped) {
        return;
    }
    _databases.push_back("db" + std::to_string(++_changes));
    std::string dropped;
    if (_databases.size() > kDatabases) {
        dropped = _databases.front();
        _databases.pop_front();
    }
    _write();
    _judge.onAdded(_databases.back());
    if (!dropped.empty()) {
        _judge.onDropped(dropped);
    }
    _queue.after(kChangeGap, [this] { change(); });
}

}  // namespace coralhoist::soak
