#include "lab/soak/SoakFaults.h"

#include <chrono>
#include <iterator>

namespace coralhoist::soak {

enum class SoakFault : std::uint8_t {
    ProxyKilled,
    ProxyPaused,
    ProxyStopped,
    ServerLinkDelayed,
    ServerLinkReset,
    ServerLinkSilent,
    ServerLinkOneWay,
    StoreLinkSilent,
    StoreLinkReset,
    PeerLinkSilent,
    PeerLinkReset,
    PeerLinkDelayed,
    StoreRefuses,
    StoreAnswersLost,
    StoreForgets,
    PrimaryCrashes,
    PrimaryIsolated,
    ReplicaDeaf,
    ReplicaLags,
    ConfigurationChanges,
    Count
};

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kShortestGapMs = 200;
constexpr std::uint64_t kGapSpreadMs = 900;
constexpr std::uint64_t kShortestFaultMs = 200;
constexpr std::uint64_t kFaultSpreadMs = 3500;
constexpr milliseconds kStopGrace{6000};

const char* describe(SoakFault fault) {
    constexpr const char* kNames[] = {
        "proxy killed",      "proxy paused",       "proxy stopped",       "server link delayed",
        "server link reset", "server link silent", "server link one way", "store link silent",
        "store link reset",  "peer link silent",   "peer link reset",     "peer link delayed",
        "store refuses",     "store answers lost", "store forgets",       "primary crashes",
        "primary isolated",  "replica deaf",       "replica lags",        "configuration changes"};
    return kNames[static_cast<std::size_t>(fault)];
}

void reset(FaultyRelay* relay) {
    if (relay != nullptr) {
        relay->resetAll();
    }
}

}  // namespace

SoakFaults::SoakFaults(simulation::EventQueue& queue, RandomSource& random, SoakTargets targets)
    : _queue(queue), _random(random), _targets(std::move(targets)), _start(queue.now()) {}

void SoakFaults::play() {
    if (_healed) {
        return;
    }
    const auto fault =
        static_cast<SoakFault>(_random.below(static_cast<std::uint64_t>(SoakFault::Count)));
    const auto at = std::chrono::duration_cast<milliseconds>(_queue.now() - _start);
    _played.push_back(std::to_string(at.count()) + " " + describe(fault));
    begin(fault);
    _queue.after(milliseconds(kShortestGapMs + _random.below(kGapSpreadMs)), [this] { play(); });
}

void SoakFaults::heal(std::function<void()> action) {
    const std::uint64_t number = ++_lastHealing;
    _healings[number] = std::move(action);
    _queue.after(milliseconds(kShortestFaultMs + _random.below(kFaultSpreadMs)),
                 [this, number] { runHealing(number); });
}

void SoakFaults::runHealing(std::uint64_t number) {
    const auto found = _healings.find(number);
    if (found != _healings.end()) {
        const std::function<void()> action = std::move(found->second);
        _healings.erase(found);
        action();
    }
}

void SoakFaults::healAll() {
    _healed = true;
    while (!_healings.empty()) {
        runHealing(_healings.begin()->first);
    }
}

ProxyProcess& SoakFaults::randomProxy() {
    return *_targets.proxies[_random.below(_targets.proxies.size())];
}

FaultyRelay* SoakFaults::randomRelay(const RelaysByName& relays) {
    if (relays.empty()) {
        return nullptr;
    }
    auto chosen = relays.begin();
    std::advance(chosen, static_cast<long>(_random.below(relays.size())));
    return chosen->second.get();
}

FaultyRelay* SoakFaults::randomRelay(const std::vector<std::unique_ptr<FaultyRelay>>& relays) {
    return relays.empty() ? nullptr : relays[_random.below(relays.size())].get();
}

void SoakFaults::disturb(FaultyRelay* relay, const RelayFaults& faults) {
    if (relay != nullptr) {
        relay->setFaults(faults);
        heal([relay] { relay->setFaults({}); });
    }
}

pooled::LogServer& SoakFaults::primary() {
    pooled::LogServer* best = _targets.group.servers().front().get();
    for (const auto& server : _targets.group.servers()) {
        if (server->primary && server->term >= best->term) {
            best = server.get();
        }
    }
    return *best;
}

pooled::LogServer& SoakFaults::replica() {
    std::vector<pooled::LogServer*> replicas;
    for (const auto& server : _targets.group.servers()) {
        if (!server->primary) {
            replicas.push_back(server.get());
        }
    }
    return replicas.empty() ? primary() : *replicas[_random.below(replicas.size())];
}

void SoakFaults::killProxy() {
    ProxyProcess& proxy = randomProxy();
    if (!proxy.isRunning()) {
        return;
    }
    proxy.kill();
    heal([&proxy] { proxy.start(); });
}

void SoakFaults::pauseProxy() {
    ProxyProcess& proxy = randomProxy();
    proxy.pause();
    heal([&proxy] { proxy.resume(); });
}

void SoakFaults::stopProxy() {
    ProxyProcess& proxy = randomProxy();
    if (!proxy.isRunning()) {
        return;
    }
    proxy.stop(kStopGrace);
    heal([&proxy] {
        if (proxy.isRunning()) {
            proxy.kill();
        }
        proxy.start();
    });
}

void SoakFaults::crashPrimary() {
    pooled::LogServer& server = primary();
    if (server.running) {
        _targets.group.crash(server);
        heal([this, &server] { _targets.group.restart(server); });
    }
}

void SoakFaults::isolatePrimary() {
    const ServerName name = primary().name;
    _targets.group.setIsolated(name, true);
    heal([this, name] { _targets.group.setIsolated(name, false); });
}

void SoakFaults::begin(SoakFault fault) {
    StoreFaults& store = _targets.store;
    const RelayFaults delayed{milliseconds(20 + _random.below(200)), false, false};
    const RelayFaults silent{milliseconds(0), true, true};
    const bool forward = _random.below(2) == 0;
    const RelayFaults oneWay{milliseconds(0), forward, !forward};
    switch (fault) {
        case SoakFault::ProxyKilled:
            return killProxy();
        case SoakFault::ProxyPaused:
            return pauseProxy();
        case SoakFault::ProxyStopped:
            return stopProxy();
        case SoakFault::ServerLinkDelayed:
            return disturb(randomRelay(_targets.serverRelays), delayed);
        case SoakFault::ServerLinkReset:
            return reset(randomRelay(_targets.serverRelays));
        case SoakFault::ServerLinkSilent:
            return disturb(randomRelay(_targets.serverRelays), silent);
        case SoakFault::ServerLinkOneWay:
            return disturb(randomRelay(_targets.serverRelays), oneWay);
        case SoakFault::StoreLinkSilent:
            return disturb(randomRelay(_targets.storeRelays), silent);
        case SoakFault::StoreLinkReset:
            return reset(randomRelay(_targets.storeRelays));
        case SoakFault::PeerLinkSilent:
            return disturb(randomRelay(_targets.peerRelays), silent);
        case SoakFault::PeerLinkReset:
            return reset(randomRelay(_targets.peerRelays));
        case SoakFault::PeerLinkDelayed:
            return disturb(randomRelay(_targets.peerRelays), delayed);
        case SoakFault::StoreRefuses:
            store.refuses = true;
            return heal([&store] { store.refuses = false; });
        case SoakFault::StoreAnswersLost:
            store.answersLost = 0.4;
            return heal([&store] { store.answersLost = 0; });
        case SoakFault::StoreForgets:
            store.forgotten = true;
            return;
        case SoakFault::PrimaryCrashes:
            return crashPrimary();
        case SoakFault::PrimaryIsolated:
            return isolatePrimary();
        case SoakFault::ReplicaDeaf: {
            pooled::LogServer& server = replica();
            server.deaf = true;
            return heal([&server] { server.deaf = false; });
        }
        case SoakFault::ReplicaLags: {
            pooled::LogServer& server = replica();
            server.applyLag = milliseconds(300 + _random.below(900));
            return heal([&server] { server.applyLag = Duration(0); });
        }
        case SoakFault::ConfigurationChanges:
            return _targets.changeConfiguration();
        case SoakFault::Count:
            return;
    }
}

}  // namespace coralhoist::soak
