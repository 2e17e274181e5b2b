#include "tenancy/QuotaShard.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Time for which a read of the record is recent enough to decide who may lead. */
constexpr Duration kRecordMaxAge = milliseconds(300);
/** Delay after a failed store call, and between reads that changed nothing. */
constexpr Duration kRetryPause = milliseconds(200);
/** A standby takes over when it has had no update for this time while requests reached it because
 * the leader did not respond. Each grant is an update. A wrong takeover costs two store calls. */
constexpr Duration kLeaderSilence = milliseconds(150);
/** Time for which a declined request is evidence that the leader may have lost its lease because it
 * can't reach the store. */
constexpr Duration kDeclineValidity = std::chrono::seconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(1);
/** Shortest interval between forwarded probes, which only find out which node grants units. Many
 * nodes send probes at the same time. */
constexpr Duration kProbeInterval = milliseconds(200);

}  // namespace

void QuotaShard::ask(const QuotaRequest& request, QuotaReply reply) {
    if (leads()) {
        _leader->ask(request, std::move(reply));
        return;
    }
    const TimePoint now = _context.clock.now();
    const bool isProbe = request.wanted == 0 && request.settled.empty();
    if (isProbe && !isDeputy() && now - _probedAt < kProbeInterval) {
        reply(declinedResponse(kRetryPause));
        return;
    }
    _probedAt = isProbe ? now : _probedAt;
    _tenant = request.tenant;
    noteReach(now);
    if (isDeputy()) {
        _deputy->ask(request, std::move(reply));
        return;
    }
    relayOrResolveLeader({request, std::move(reply), now}, now);
}

bool QuotaShard::canReach(const NodeIncarnation& incarnation) const {
    return incarnation.exists() && incarnation.node != _context.self.node &&
           _context.calls.canReach(incarnation.node);
}

/** @return the node to which a request is forwarded, according to the known record. */
std::optional<NodeName> QuotaShard::relayTarget() const {
    if (!_known) {
        return std::nullopt;
    }
    if (canReach(_known->record().leader)) {
        return _known->record().leader.node;
    }
    if (canReach(_known->record().standby)) {
        return _known->record().standby.node;
    }
    return reachableDeputy();
}

/** @return whether the requesting node gets no response from the leader and this node, its standby,
 * gets no updates from it. */
bool QuotaShard::isSilentToStandby(const QueuedQuotaRequest& queued, TimePoint now) const {
    return queued.request.leaderSilent && _known &&
           _copy.isOf(_known->record().leader.incarnation) &&
           now - _copy.lastUpdateAt() >= kLeaderSilence;
}

void QuotaShard::relayOrResolveLeader(QueuedQuotaRequest queued, TimePoint now) {
    const std::optional<NodeName> target = relayTarget();
    const bool mayForward = target && queued.request.hops < kMostQuotaHops;
    const bool isWaitedForLong = now >= deputyDue();
    if (mayForward && !isWaitedForLong && !_copy.isOffered(now) &&
        !isSilentToStandby(queued, now)) {
        relay(*target, std::move(queued));
        return;
    }
    _queue.add(std::move(queued));
    resolveLeader(now);
}

/** Forwards the request. A declined response shows that the record has changed or that the node
 * can't determine who leads. */
void QuotaShard::relay(const NodeName& node, QueuedQuotaRequest queued) {
    ++_context.statistics.relayed;
    QuotaRequest request = queued.request;
    ++request.hops;
    request.leaderSilent = request.leaderSilent || node != _known->record().leader.node;
    const NodeIncarnation& standby = _known->record().standby;
    const bool isProbe = request.wanted == 0;
    if ((isProbe || request.leaderSilent) && node != standby.node && canReach(standby)) {
        // Probing the standby in parallel finds out without further delay whether it is unreachable
        // too.
        probe(standby.node, request, [](const QuotaResponse& /*response*/) {});
    }
    _context.calls.ask(
        node, request,
        [this, alive = std::weak_ptr<bool>(_alive), node,
         queued = std::move(queued)](const std::optional<QuotaResponse>& response) mutable {
            if (alive.expired()) {
                return;
            }
            if (response && !response->declined) {
                _cutOffSince.reset();
                queued.reply(*response);
                return;
            }
            const TimePoint now = _context.clock.now();
            requireReload(now);
            noteReach(now);
            if (response && _known && node == _known->record().leader.node) {
                _leaderDeclinedAt = now;
            }
            if (response || (queued.isOverdue(now) && !waitsToBeDeputy())) {
                decline(queued, response ? response->retryAfter : kRetryPause);
            } else {
                _queue.add(std::move(queued));
            }
            resolveLeader(now);
        });
}

/** Requires a new read of the record before the next decision. */
void QuotaShard::requireReload(TimePoint now) {
    if (_known) {
        _known->loadedAt = std::min(_known->loadedAt, now - kRecordMaxAge);
    }
}

void QuotaShard::decline(const QueuedQuotaRequest& queued, Duration retryAfter) {
    _queue.decline(queued, std::clamp(retryAfter, kRetryPause, kLongestRetry));
}

void QuotaShard::declineQueued(Duration retryAfter) {
    for (const QueuedQuotaRequest& queued : _queue.takeAll()) {
        decline(queued, retryAfter);
    }
}

/** Passes queued requests to the node that the record names. */
void QuotaShard::dispatchQueued() {
    const std::optional<NodeName> target = relayTarget();
    if (!target && waitsToBeDeputy()) {
        _notBefore = std::max(_notBefore, deputyDue());
        return;
    }
    for (QueuedQuotaRequest& queued : _queue.takeAll()) {
        if (leads()) {
            _leader->ask(queued.request, std::move(queued.reply));
        } else if (isDeputy()) {
            _deputy->ask(queued.request, std::move(queued.reply));
        } else if (target && queued.request.hops < kMostQuotaHops) {
            relay(*target, std::move(queued));
        } else {
            decline(queued, kRetryPause);
        }
    }
}

/** Finds out which node leads, or takes over leadership. */
void QuotaShard::resolveLeader(TimePoint now) {
    if (_calling || leads() || now < _notBefore) {
        return;
    }
    if (!_known || now - _known->loadedAt >= kRecordMaxAge || !isOfPresentEra()) {
        load(now);
    } else {
        decide(now);
    }
}

void QuotaShard::load(TimePoint now) {
    _calling = true;
    _notBefore = now + kRetryPause;
    _context.store.load(_context.shard,
                        [this, alive = std::weak_ptr<bool>(_alive)](const LoadedShard& loaded) {
                            if (!alive.expired()) {
                                _calling = false;
                                onLoaded(loaded);
                            }
                        });
}

void QuotaShard::onLoaded(const LoadedShard& loaded) {
    const TimePoint now = _context.clock.now();
    if (loaded.outcome != StoreOutcome::Done) {
        declineQueued(kRetryPause);
        return;
    }
    if (!_known) {
        _known = KnownRecord{};
    }
    _known->parts.onKnown(loaded.record, now);
    _known->loadedAt = now;
    const bool isOtherEra = loaded.record.version.era != _claimedUnder.era;
    const bool isReplaced =
        loaded.record.version != _claimedUnder && loaded.record.leader != _context.self;
    if (isReplaced || isOtherEra) {
        // Another write was applied in place of the claim, or the store has lost the claim.
        _claimPending = false;
    }
    noteReach(now);
    const bool isCopied =
        _copy.isOf(loaded.record.leader.incarnation) && loaded.record.standby == _context.self;
    if ((_copy.isSealed() || _copy.isReleased()) && !isCopied) {
        _copy.drop();
    }
    decide(now);
}

/** @return whether the record was read after the store was last restored from an older copy. */
bool QuotaShard::isOfPresentEra() const {
    return _known->record().version.era == _context.era.current();
}

/** @return whether the store can't have lost a later write of the record. */
bool QuotaShard::isWrittenInPresentEra() const {
    const QuotaShardRecord& record = _known->record();
    return record.version.exists() ? record.writtenIn == _context.era.current()
                                   : !_context.era.hasReturned();
}

/** A record of an earlier era may name a standby that a lost write has since removed. */
bool QuotaShard::mayLeadWithCopy(TimePoint now) const {
    if (!isWrittenInPresentEra()) {
        return false;
    }
    const QuotaShardRecord& record = _known->record();
    const bool isSilent = std::any_of(
        _queue.all().begin(), _queue.all().end(),
        [this, now](const QueuedQuotaRequest& queued) { return isSilentToStandby(queued, now); });
    return record.standby == _context.self && _copy.isOf(record.leader.incarnation) &&
           (_copy.isOffered(now) || !canReach(record.leader) || isSilent);
}

bool QuotaShard::mayLeadWithoutCopy(TimePoint now) const {
    if (mayLackGrants(_context) || !isOfPresentEra()) {
        return false;
    }
    const QuotaShardRecord& record = _known->record();
    const bool isFree = !record.leader.exists();
    // A standby to which this node has handed over takes over with its copy.
    const bool hasHandedOver = record.leader == _context.self && canReach(record.standby);
    const bool wasSelf = record.leader.node == _context.self.node && !hasHandedOver;
    // The lease of the leader that wrote this version has expired unless a newer version has been
    // written in the meantime, and then the claim fails.
    const bool isSilent = !canReach(record.leader) || now - _leaderDeclinedAt < kDeclineValidity;
    const bool hasLapsed = isSilent && now - _known->parts.leaderSeenAt() >= kShardLeaseOfOthers;
    return isFree || wasSelf || hasLapsed;
}

/** Decides which node leads. The known record must have been read recently. */
void QuotaShard::decide(TimePoint now) {
    const bool isOwnClaim = _known->record().leader == _context.self && isWrittenInPresentEra();
    if (isOwnClaim && _claimPending) {
        // The claim was written. This node grants once it has renewed the record.
        lead(_known->record(), now);
    } else if (!_released && mayLeadWithCopy(now)) {
        _copy.seal();
        claim(_copy.ledgers(), true, now);
        return;
    } else if (!_released && mayLeadWithoutCopy(now)) {
        claim(inheritedLedgers(now), false, now);
        return;
    } else if (mayBeDeputy(now)) {
        becomeDeputy();
    }
    dispatchQueued();
}

/** @return ledgers that count all units that the former leader may have granted. */
ShardLedgers QuotaShard::inheritedLedgers(TimePoint now) const {
    // A previous incarnation of this node stopped before this one began. Other leaders wrote the
    // record before it was first read and have stopped by now; this also holds where this
    // incarnation handed over and no node leads.
    const NodeIncarnation& leader = _known->record().leader;
    const bool wasFormerLife = leader.node == _context.self.node && leader != _context.self;
    const TimePoint writtenBy = wasFormerLife
                                    ? std::min(_context.startedAt, _known->parts.leaderSeenAt())
                                    : _known->parts.leaderSeenAt();
    const TimePoint stoppedBy = wasFormerLife ? _context.startedAt : now;
    ShardLedgers ledgers;
    for (const auto& [tenant, quota] : _known->record().tenants) {
        ledgers.try_emplace(tenant, _context.windowOf(tenant))
            .first->second.inherit(quota, writtenBy, stoppedBy);
    }
    return ledgers;
}

void QuotaShard::claim(ShardLedgers ledgers, bool withCopy, TimePoint now) {
    if (_deputy) {
        _deputy->withdraw();
    }
    if (mayLackGrants(_context)) {
        _known->parts.reserveForLost(_context.terms, _context.tenants(),
                                     _context.era.shownAt() + lostGrantsCountFor(_context.terms));
    }
    QuotaShardRecord claimed = _known->record();
    claimed.writtenIn = claimed.version.era;
    claimed.leader = _context.self;
    claimed.standby = {};
    claimed.tenants = leaderQuotas(_context, _known->parts, ledgers, now);
    claimed.deputies = _known->parts.partsForNextVersion(_context.terms.longestWindow(), now);
    ++claimed.renewals;
    _claimedLedgers = std::move(ledgers);
    _claimedWithCopy = withCopy;
    _claimPending = true;
    _claimedUnder = claimed.version;
    _calling = true;
    _notBefore = now + kRetryPause;
    _context.store.save(
        _context.shard, claimed,
        [this, alive = std::weak_ptr<bool>(_alive), claimed, now](const SavedShard& saved) {
            if (!alive.expired()) {
                _calling = false;
                onClaimed(saved, claimed, now);
            }
        });
}

void QuotaShard::onClaimed(const SavedShard& saved, const QuotaShardRecord& claimed,
                           TimePoint sentAt) {
    const TimePoint now = _context.clock.now();
    _claimPending = saved.outcome == StoreOutcome::Unknown;
    if (saved.outcome == StoreOutcome::Done) {
        QuotaShardRecord record = claimed;
        record.version = saved.version;
        lead(record, sentAt + kShardLease);
        dispatchQueued();
    } else if (saved.outcome == StoreOutcome::Unavailable) {
        declineQueued(kRetryPause);
    } else {
        load(now);
    }
}

void QuotaShard::lead(const QuotaShardRecord& record, TimePoint leaseUntil) {
    ++(_claimedWithCopy ? _context.statistics.ledWithCopy : _context.statistics.ledWithoutCopy);
    LogEvent("tenancy", LogLevel::Info, "quota.leader")
        .field("shard", _context.shard)
        .field("former", _known->record().leader.node)
        .field("with_copy", _claimedWithCopy)
        .field("version", record.version);
    _claimPending = false;
    _copy.drop();
    RecordParts parts = _known->parts;
    parts.onKnown(record, _context.clock.now());
    _leader = std::make_unique<ShardLeader>(_context, std::move(parts), leaseUntil,
                                            std::exchange(_claimedLedgers, {}));
    _known.reset();
    _leader->onTick(_context.clock.now());
}

LedgerAck QuotaShard::takeUpdate(const LedgerUpdate& update) {
    const TimePoint now = _context.clock.now();
    LedgerAck ack;
    ack.incarnation = _context.self.incarnation;
    const auto windowOf = [this](const TenantName& tenant) { return _context.windowOf(tenant); };
    ack.accepted = !leads() && !_released && _copy.apply(update, windowOf, now);
    if (ack.accepted && _copy.isOffered(now)) {
        requireReload(now);
        resolveLeader(now);
    }
    return ack;
}

void QuotaShard::release() {
    _released = true;
    if (_deputy) {
        _deputy->release();
    }
    if (leads()) {
        _leader->release();
    }
}

void QuotaShard::onTick(TimePoint now) {
    tickDeputy(now);
    if (_leader && _leader->hasEnded()) {
        for (QueuedQuotaRequest& queued : _leader->takeQueued()) {
            _queue.add(std::move(queued));
        }
        followSuccessor(now);
    }
    if (_leader) {
        _leader->onTick(now);
        return;
    }
    _queue.declineOverdue(now);
    if (!_queue.empty() || _copy.isReleased()) {
        resolveLeader(now);
    }
}

TimePoint QuotaShard::nextTick() const {
    const TimePoint deputy =
        _deputy ? std::min(_deputyDueAt, _deputy->nextTick()) : TimePoint::max();
    if (_leader) {
        return _leader->hasEnded() ? TimePoint::min() : std::min(deputy, _leader->nextTick());
    }
    TimePoint next = std::min(deputy, _queue.dueAt());
    if (!_calling && (!_queue.empty() || _copy.isReleased())) {
        next = std::min(next, _notBefore);
    }
    return next;
}

}  // namespace coralhoist::tenancy
