#include "lab/soak/SoakFaults.h"

#include <chrono>
#include <iterator>

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kShortestLinkDelayMs = 20;
constexpr std::uint64_t kLinkDelaySpreadMs = 200;
constexpr std::uint64_t kShortestPromotionDelayMs = 200;
constexpr std::uint64_t kPromotionDelaySpreadMs = 1800;
/** The replica that receives nothing falls behind for so long before the primary fails. */
constexpr milliseconds kFallsBehind{500};
/** Questions stay slow for so long beyond the primary's failure, so that a choice meets them. */
constexpr milliseconds kChoiceTime{2000};
/** A lost primary is replaced within this time as a rule. */
constexpr milliseconds kReplacedAfter{4000};
constexpr double kShareOfLostAnswers = 0.4;
constexpr double kShareOfLateWrites = 0.3;

void reset(FaultyRelay* relay) {
    if (relay != nullptr) {
        relay->resetAll();
    }
}

RelayFaults delayOf(const PlannedFault& planned) {
    return {milliseconds(kShortestLinkDelayMs + planned.size % kLinkDelaySpreadMs), false, false};
}

RelayFaults silence() {
    return {milliseconds(0), true, true};
}

RelayFaults silenceOneWay(const PlannedFault& planned) {
    const bool forward = planned.variant % 2 == 0;
    return {milliseconds(0), forward, !forward};
}

}  // namespace

SoakFaults::SoakFaults(simulation::EventQueue& queue, SoakTargets targets)
    : _queue(queue),
      _targets(std::move(targets)),
      _healing(queue),
      _serverFaults(_healing, _targets.group, _targets.entries, _targets.servers),
      _proxyFaults(_healing, _targets.proxies) {}

void SoakFaults::play(const std::vector<PlannedFault>& plan) {
    for (const PlannedFault& planned : plan) {
        _queue.after(planned.at, [this, planned] { begin(planned); });
    }
}

void SoakFaults::healAll() {
    _healed = true;
    _healing.healAll();
}

void SoakFaults::begin(const PlannedFault& planned) {
    if (_healed) {
        return;
    }
    ++_begun;
    _targets.timeline.note(std::string(describe(planned.fault)) + " for " +
                           std::to_string(planned.lasts.count()) + " ms");
    if (beginAtProxy(planned) || beginAtLink(planned) || beginAtStore(planned) ||
        beginAtPromotion(planned) || beginInSteps(planned)) {
        return;
    }
    beginAtServer(planned);
}

FaultyRelay* SoakFaults::relayOf(const RelaysByName& relays, const PlannedFault& planned) {
    if (relays.empty()) {
        return nullptr;
    }
    auto chosen = relays.begin();
    std::advance(chosen, static_cast<long>(planned.target % relays.size()));
    return chosen->second.get();
}

FaultyRelay* SoakFaults::storeRelayOf(const PlannedFault& planned) {
    return _targets.storeRelays[planned.target % _targets.storeRelays.size()].get();
}

void SoakFaults::disturb(FaultyRelay* relay, const RelayFaults& faults,
                         const PlannedFault& planned) {
    if (relay != nullptr) {
        relay->setFaults(faults);
        _healing.after(planned.lasts, [relay] { relay->setFaults({}); });
    }
}

void SoakFaults::cutFromSome(const ServerName& server, const PlannedFault& planned) {
    const std::size_t spared = planned.size % _targets.proxies.size();
    for (std::size_t proxy = 0; proxy < _targets.proxies.size(); ++proxy) {
        const bool chosen = ((planned.variant >> proxy) & 1U) != 0;
        const auto relay = _targets.serverRelays.find({proxy, server.value()});
        if (chosen && proxy != spared && relay != _targets.serverRelays.end()) {
            disturb(relay->second.get(), silence(), planned);
        }
    }
}

void SoakFaults::cutPrimaryFromSome(const PlannedFault& planned) {
    const ServerName primary = _serverFaults.primary().name;
    _serverFaults.isolatePrimary(planned);
    cutFromSome(primary, planned);
}

void SoakFaults::strikePrimary(const PlannedFault& planned) {
    constexpr std::uint64_t kWays = 3;
    constexpr std::uint64_t kUsedByCuts = 1U << 16U;
    const std::uint64_t way = planned.variant / kUsedByCuts % kWays;
    if (way == 0) {
        _serverFaults.crashPrimary(planned);
    } else if (way == 1) {
        cutPrimaryFromSome(planned);
    }
}

void SoakFaults::beginSlowReplicaAhead(const PlannedFault& planned) {
    PlannedFault slow = planned;
    slow.lasts += kFallsBehind + kChoiceTime;
    _serverFaults.slowReplicaAhead(slow);
    _healing.after(kFallsBehind, [this, planned] {
        PlannedFault failure = planned;
        failure.lasts += kChoiceTime;
        if (failure.variant % 2 == 0) {
            _serverFaults.crashPrimary(failure);
        } else {
            cutPrimaryFromSome(failure);
        }
    });
}

void SoakFaults::beginOldPrimaryReturns(const PlannedFault& planned) {
    PlannedFault cut = planned;
    cut.lasts += kReplacedAfter;
    const ServerName old = _serverFaults.primary().name;
    _serverFaults.isolatePrimary(cut);
    cut.lasts = kReplacedAfter;
    for (const auto& [key, relay] : _targets.serverRelays) {
        if (key.second == old.value()) {
            disturb(relay.get(), silence(), cut);
        }
    }
    _healing.after(kReplacedAfter, [this, planned] {
        cutFromSome(_serverFaults.primary().name, planned);
        _serverFaults.deafenReplica(planned);
    });
}

void SoakFaults::refuseCalls(const PlannedFault& planned) {
    StoreFaults& store = _targets.store;
    store.refuses = true;
    _healing.after(planned.lasts, [&store] { store.refuses = false; });
}

bool SoakFaults::beginAtProxy(const PlannedFault& planned) {
    switch (planned.fault) {
        case SoakFault::ProxyKilled:
            _proxyFaults.kill(planned);
            return true;
        case SoakFault::ProxyPaused:
            _proxyFaults.pause(planned);
            return true;
        case SoakFault::ProxyStopped:
            _proxyFaults.stop(planned);
            return true;
        case SoakFault::ProxySignals:
            _proxyFaults.signalSeries(planned);
            return true;
        case SoakFault::SettingsChanged:
            _proxyFaults.changeSettings(planned);
            return true;
        case SoakFault::ConfigurationChanges:
            _targets.changeConfiguration();
            return true;
        default:
            return false;
    }
}

bool SoakFaults::beginAtLink(const PlannedFault& planned) {
    FaultyRelay* server = relayOf(_targets.serverRelays, planned);
    FaultyRelay* peer = relayOf(_targets.peerRelays, planned);
    switch (planned.fault) {
        case SoakFault::ServerLinkDelayed:
            disturb(server, delayOf(planned), planned);
            return true;
        case SoakFault::ServerLinkReset:
            reset(server);
            return true;
        case SoakFault::ServerLinkSilent:
            disturb(server, silence(), planned);
            return true;
        case SoakFault::ServerLinkOneWay:
            disturb(server, silenceOneWay(planned), planned);
            return true;
        case SoakFault::StoreLinkSilent:
            disturb(storeRelayOf(planned), silence(), planned);
            return true;
        case SoakFault::StoreLinkReset:
            reset(storeRelayOf(planned));
            return true;
        case SoakFault::PeerLinkSilent:
            disturb(peer, silence(), planned);
            return true;
        case SoakFault::PeerLinkReset:
            reset(peer);
            return true;
        case SoakFault::PeerLinkDelayed:
            disturb(peer, delayOf(planned), planned);
            return true;
        default:
            return false;
    }
}

bool SoakFaults::beginAtStore(const PlannedFault& planned) {
    StoreFaults& store = _targets.store;
    switch (planned.fault) {
        case SoakFault::StoreRefuses:
            refuseCalls(planned);
            return true;
        case SoakFault::StoreSilent:
            store.silent = true;
            _healing.after(planned.lasts, [&store] { store.silent = false; });
            return true;
        case SoakFault::StoreAnswersLost:
            store.answersLost = kShareOfLostAnswers;
            _healing.after(planned.lasts, [&store] { store.answersLost = 0; });
            return true;
        case SoakFault::StoreWritesLate:
            store.writesLate = kShareOfLateWrites;
            _healing.after(planned.lasts, [&store] { store.writesLate = 0; });
            return true;
        case SoakFault::StoreForgets:
            store.forgotten = true;
            return true;
        case SoakFault::EntryLapsesStoreDown:
            refuseCalls(planned);
            _serverFaults.lapseEntry(planned);
            return true;
        default:
            return false;
    }
}

bool SoakFaults::beginAtPromotion(const PlannedFault& planned) {
    StoreFaults& store = _targets.store;
    const milliseconds delay(kShortestPromotionDelayMs + planned.size % kPromotionDelaySpreadMs);
    switch (planned.fault) {
        case SoakFault::PromotionSlow:
            store.promotionDelay = delay;
            break;
        case SoakFault::PromotionAnswerLost:
            store.promotionAnswersLost = true;
            break;
        case SoakFault::PromotionLate:
            store.promotionDelay = delay;
            store.promotionAnswersLost = true;
            break;
        default:
            return false;
    }
    _healing.after(planned.lasts, [&store] {
        store.promotionDelay = milliseconds(0);
        store.promotionAnswersLost = false;
    });
    strikePrimary(planned);
    return true;
}

bool SoakFaults::beginInSteps(const PlannedFault& planned) {
    switch (planned.fault) {
        case SoakFault::SlowReplicaAhead:
            beginSlowReplicaAhead(planned);
            return true;
        case SoakFault::OldPrimaryReturns:
            beginOldPrimaryReturns(planned);
            return true;
        case SoakFault::PrimaryCutFromSome:
            cutPrimaryFromSome(planned);
            return true;
        default:
            return false;
    }
}

void SoakFaults::beginAtServer(const PlannedFault& planned) {
    switch (planned.fault) {
        case SoakFault::ServerCutFromSome:
            return cutFromSome(_serverFaults.serverOf(planned).name, planned);
        case SoakFault::PrimaryCrashes:
            return _serverFaults.crashPrimary(planned);
        case SoakFault::ReplicaCrashes:
            return _serverFaults.crashReplica(planned);
        case SoakFault::PrimaryIsolated:
            return _serverFaults.isolatePrimary(planned);
        case SoakFault::ServersCut:
            return _serverFaults.cutServers(planned);
        case SoakFault::ReplicaDeaf:
            return _serverFaults.deafenReplica(planned);
        case SoakFault::ReplicaLags:
            return _serverFaults.slowReplica(planned);
        case SoakFault::ServerCrowded:
            return _serverFaults.crowdServer(planned);
        case SoakFault::AllServersCrowded:
            _serverFaults.crowdAll(planned);
            return strikePrimary(planned);
        case SoakFault::OrdersSlow:
            return _serverFaults.slowOrders(planned);
        case SoakFault::ConnectionsLimited:
            return _serverFaults.limitConnections(planned);
        case SoakFault::EntryLapses:
            return _serverFaults.lapseEntry(planned);
        default:
            return;
    }
}

}  // namespace coralhoist::soak
