/** When a node becomes a deputy of a shard's leader, and when it stops being one. */
#include <algorithm>

#include "base/Log.h"
#include "tenancy/QuotaShard.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Time for which leader and standby have to be unreachable before this node may be a deputy.
 * Reconnecting takes less time, and queued statements still get a response in time. */
constexpr Duration kCutOffDelay = milliseconds(100);
/** Time for which the leader has to be unreachable before this node may be a deputy, if the standby
 * appears reachable but has not responded either. A standby takes over within this time if the
 * leader has failed. */
constexpr Duration kStandbySilence = milliseconds(300);
/** Interval at which a deputy checks whether the leader is reachable. */
constexpr Duration kLeaderProbeInterval = milliseconds(200);

}  // namespace

/** @return whether a node is reachable that may grant from the leader's part. */
bool QuotaShard::reachesLeader() const {
    return _known && (canReach(_known->record().leader) || canReach(_known->record().standby));
}

void QuotaShard::noteReach(TimePoint now) {
    if (isDeputy()) {
        if (_known) {
            _known->parts = _deputy->parts();
            probeLeader(now);
        }
        return;
    }
    if (!_known || canReach(_known->record().leader) || !_known->record().leader.exists()) {
        _cutOffSince.reset();
    } else if (!_cutOffSince) {
        _cutOffSince = now;
    }
}

/** Handles the end of this node's leadership. An unreachable successor was this node's standby, for
 * whose acknowledgements it has already waited in vain. This node therefore need not wait again
 * before it becomes a deputy. */
void QuotaShard::followSuccessor(TimePoint now) {
    const RecordParts parts = _leader->parts();
    _leader.reset();
    const NodeIncarnation& successor = parts.record().leader;
    if (successor.exists() && successor != _context.self) {
        _known = KnownRecord{parts, now};
        if (!canReach(successor)) {
            _cutOffSince = now - kStandbySilence;
        }
    }
}

/** Sends a request without units, for which only the arrival of a response matters. */
void QuotaShard::probe(const NodeName& node, QuotaRequest request, QuotaReply onAnswered) {
    request.wanted = 0;
    // A probe must not cause a standby to take over.
    request.leaderSilent = false;
    request.settled.clear();
    request.wantedByRank.clear();
    _context.calls.ask(node, request,
                       [alive = std::weak_ptr<bool>(_alive), onAnswered = std::move(onAnswered)](
                           const std::optional<QuotaResponse>& response) {
                           if (!alive.expired() && response && !response->declined) {
                               onAnswered(*response);
                           }
                       });
}

/** Probes the leader. A reopened connection alone does not prove that the leader works, so the
 * leader has to respond. */
void QuotaShard::probeLeader(TimePoint now) {
    const std::optional<NodeName> target = relayTarget();
    if (!target || !reachesLeader() || now - _leaderProbedAt < kLeaderProbeInterval) {
        return;
    }
    _leaderProbedAt = now;
    QuotaRequest request;
    request.tenant = _tenant;
    // Leaves one hop, so that a standby may forward the probe.
    request.hops = kMostQuotaHops - 1;
    probe(*target, request, [this](const QuotaResponse& /*response*/) {
        _cutOffSince.reset();
        if (isDeputy()) {
            _deputy->withdraw();
        }
    });
}

/** @return the earliest time at which this node may be a deputy, if it is cut off from the leader.
 */
TimePoint QuotaShard::deputyDue() const {
    if (!_cutOffSince || !_known) {
        return TimePoint::max();
    }
    const bool reachesStandby = canReach(_known->record().standby);
    return *_cutOffSince + (reachesStandby ? kStandbySilence : kCutOffDelay);
}

/** @return whether this node may soon become a deputy and answer requests itself. */
bool QuotaShard::waitsToBeDeputy() const {
    return _cutOffSince && _known && _context.clock.now() < deputyDue() && !_released &&
           _known->parts.mayJoin(_context.self);
}

/** @return a reachable deputy whose part may be in use. */
std::optional<NodeName> QuotaShard::reachableDeputy() const {
    const TimePoint now = _context.clock.now();
    for (const DeputyPart& part : _known->record().deputies) {
        if (_known->parts.mayGrant(part, now) && canReach(part.holder)) {
            return part.holder.node;
        }
    }
    return std::nullopt;
}

bool QuotaShard::mayBeDeputy(TimePoint now) const {
    const bool isCutOff = now >= deputyDue();
    const bool isLeader = _known->record().leader.node == _context.self.node;
    return isCutOff && isWrittenInPresentEra() && !mayLackGrants(_context) && !isLeader &&
           !_released && !isDeputy() && !_claimPending && !reachableDeputy() &&
           _known->parts.mayJoin(_context.self);
}

void QuotaShard::becomeDeputy() {
    ++_context.statistics.deputized;
    LogEvent("tenancy", LogLevel::Info, "quota.deputy")
        .field("shard", _context.shard)
        .field("leader", _known->record().leader.node)
        .field("version", _known->record().version);
    if (_deputy) {
        // Units that the deputy granted before its withdrawal continue to count.
        _deputy->resume();
    } else {
        _deputy = std::make_unique<ShardLeader>(_context, _known->parts);
    }
}

/** Runs the periodic work of a deputy. A deputy stops when the leader is reachable again, and takes
 * over when the leader's lease has expired. */
void QuotaShard::tickDeputy(TimePoint now) {
    if (_deputy && _deputy->isOutdated()) {
        // The store has lost the deputy's part together with its latest writes.
        _deputy->abandon();
        _deputy.reset();
    }
    if (!_deputy) {
        return;
    }
    _deputyDueAt = now + kLeaderProbeInterval;
    noteReach(now);
    _deputy->onTick(now);
    if (_deputy->hasWithdrawn() && _deputy->countsNothing(now)) {
        _deputy.reset();
    } else if (isDeputy() && !leads() && !_released && mayLeadWithoutCopy(now)) {
        resolveLeader(now);
    }
}

}  // namespace coralhoist::tenancy
