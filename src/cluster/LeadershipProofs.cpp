/** Proofs that primaries lead, as ClusterControl gets them: from nodes, the store, or the servers.
 */
#include <algorithm>
#include <memory>

#include "cluster/ClusterControl.h"

namespace coralhoist::cluster {

void ClusterControl::wantLeadershipProof(const GroupName& group) {
    _unproven.insert(group);
    if (!needsProofOfServers(group)) {
        _proofs.want();
    }
}

/** @return whether the store has returned older, and its record of the group proves nothing yet. */
bool ClusterControl::needsProofOfServers(const GroupName& group) const {
    const failover::GroupFailover* failover = _failovers.find(group);
    return failover != nullptr && !failover->notice().isConfirmed;
}

/**
 * A node that has just started may neither read nor write at primaries before it has a proof. The
 * servers are asked for one only where statements wait: all nodes may start at once, and each
 * question to a server costs it a connection and a slot.
 */
void ClusterControl::proveAtStart() {
    if (_provenAtStart || !isReady()) {
        return;
    }
    _provenAtStart = true;
    _proofs.want();
}

void ClusterControl::askServers(const GroupName& group, TimePoint now) {
    std::unique_ptr<failover::LeadershipProbe>& probe = _probes[group];
    if (!probe) {
        probe = std::make_unique<failover::LeadershipProbe>(
            _dependencies.clock, _dependencies.connector, _dependencies.reportParser);
    }
    probe->ask(_directory.serversOf(group), now);
}

/** While neither the store nor a node gives proofs, the servers are asked, at the price of a slot
 * of each. */
void ClusterControl::askServersForProof(TimePoint now) {
    for (const GroupName& group : _unproven) {
        if (_proofs.hasFailed() || needsProofOfServers(group)) {
            askServers(group, now);
        }
    }
    for (const auto& [group, probe] : _probes) {
        if (const auto next = probe->nextTick(); next && *next <= now) {
            probe->onTick(now);
        }
    }
    takeProofsOfServers();
    std::erase_if(_probes, [](const auto& entry) { return !entry.second->nextTick(); });
}

void ClusterControl::takeProofsOfServers() {
    for (const auto& [group, probe] : _probes) {
        const std::optional<pooling::Primary> primary = _pooler.primaryOf(group);
        const std::optional<TimePoint> proven = primary ? probe->provenAt(*primary) : std::nullopt;
        if (const auto paused = primary ? probe->pausedAt(*primary) : std::nullopt) {
            _failovers.wake(group).onReceiversPaused(*paused);
        }
        TimePoint& told = _toldProofs[group];
        if (proven && *proven > told) {
            told = *proven;
            _unproven.erase(group);
            _pooler.confirmLeadership(group, *proven);
            _failovers.wake(group).onLeadershipProven(*primary, *proven);
        }
    }
}

/** Proves the leadership of every group without a promotion under way. */
void ClusterControl::onProof(const pooling::LeadershipProof& proof) {
    std::erase_if(_unproven,
                  [this](const GroupName& group) { return !needsProofOfServers(group); });
    _pooler.applyProof(proof);
}

}  // namespace coralhoist::cluster
