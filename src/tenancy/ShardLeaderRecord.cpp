/** When and how the leader of a shard, or a deputy, writes the record, including after the store
 * was restored from an older copy. */
#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"
#include "tenancy/ShardLeader.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Interval between renewals of the record. Two thirds of the lease are left when a store outage
 * begins. */
constexpr Duration kRenewEvery = std::chrono::seconds(2);
/** A shard without requests for this time is not renewed. */
constexpr Duration kIdleAfter = std::chrono::seconds(10);
/** Range of the backoff after failed store calls, which doubles after each failure. The leaders of
 * all shards retry, and the store also counts the calls that it refuses. */
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);
/** Shortest interval between rewrites of the record for a larger allowance, for deputies and for a
 * leader beside deputies. Counted units of all parts expire at the rate of the quota, so each
 * rewrite under a flood of requests finds only a few free units. */
constexpr Duration kSharedPause = milliseconds(250);

}  // namespace

bool ShardLeader::isIdle(TimePoint now) const {
    return now - _askedAt >= kIdleAfter && _queue.empty();
}

bool ShardLeader::wantsSave(TimePoint now) const {
    if (_calling || _ended || now < _notBefore) {
        return false;
    }
    const bool renews = now - _savedAt >= kRenewEvery && !isIdle(now) && !_withdrawn;
    const bool mustStop = _withdrawn && hasPart();
    return _mustReload || _mustRenew || isOutdated() || isCaughtUp() || renews ||
           wantsAllowance(now) || mustStop || _standbyState == StandbyState::Leaving ||
           _standbyState == StandbyState::Joining;
}

void ShardLeader::save(TimePoint now) {
    if (_mustReload || isOutdated()) {
        reload(now);
        return;
    }
    QuotaShardRecord attempted = _parts.record();
    attempted.writtenIn = attempted.version.era;
    attempted.deputies = _parts.partsForNextVersion(_context.terms.longestWindow(), now);
    writeOwnPart(attempted, now);
    _allowances.onSaving(ownQuotasOf(attempted));
    _needsAllowance = false;
    _mustRenew = false;
    _calling = true;
    _context.store.save(
        _context.shard, attempted,
        [this, alive = std::weak_ptr<bool>(_alive), attempted, now](const SavedShard& saved) {
            if (!alive.expired()) {
                _calling = false;
                onSaved(saved, attempted, now);
            }
        });
}

void ShardLeader::onSaved(const SavedShard& saved, const QuotaShardRecord& attempted,
                          TimePoint sentAt) {
    if (_ended) {
        return;
    }
    const TimePoint now = _context.clock.now();
    _allowances.onSaved(saved.outcome);
    if (saved.outcome == StoreOutcome::Done) {
        QuotaShardRecord record = attempted;
        record.version = saved.version;
        takeRecord(record, sentAt);
    } else {
        _mustReload = saved.outcome != StoreOutcome::Unavailable;
        _notBefore = saved.outcome == StoreOutcome::Conflict ? now : now + nextPause();
    }
    onTick(now);
}

/** Called when the record is in force as this node wrote it. */
void ShardLeader::takeRecord(const QuotaShardRecord& record, TimePoint sentAt) {
    _parts.onKnown(record, _context.clock.now());
    _term = _term == 0 ? record.version.token() : _term;
    _nextAllowanceAt = record.deputies.empty() ? TimePoint{} : sentAt + kSharedPause;
    _savedAt = sentAt;
    _pause = Duration(0);
    _leaseUntil = sentAt + kShardLease;
    if (_standbyState == StandbyState::Joining && record.standby == _standby) {
        _standbyState = StandbyState::InSync;
        LogEvent("tenancy", LogLevel::Info, "quota.standby_joined")
            .field("shard", _context.shard)
            .field("standby", _standby.node)
            .field("version", record.version);
    }
    if (_standbyState == StandbyState::Leaving && !record.standby.exists()) {
        _standbyState = StandbyState::None;
    }
    if (_standbyState == StandbyState::None) {
        answerUnacknowledged();
    }
}

Duration ShardLeader::nextPause() {
    _pause = nextBackoff(_pause, kFirstPause, kLongestPause);
    return _pause;
}

void ShardLeader::reload(TimePoint now) {
    _calling = true;
    _notBefore = now + nextPause();
    _context.store.load(_context.shard,
                        [this, alive = std::weak_ptr<bool>(_alive)](const LoadedShard& loaded) {
                            if (!alive.expired()) {
                                _calling = false;
                                onLoaded(loaded);
                            }
                        });
}

/** Handles a read of the record. The record may contain this node's write whose outcome was
 * unknown, or name another leader. */
void ShardLeader::onLoaded(const LoadedShard& loaded) {
    if (_ended || loaded.outcome != StoreOutcome::Done) {
        return;
    }
    if (isOutdated()) {
        if (!takeOver(loaded.record)) {
            end();
            return;
        }
    } else {
        _parts.onKnown(loaded.record, _context.clock.now());
    }
    if (_role == ShardRole::Leader && _parts.record().leader != _context.self) {
        end();
        return;
    }
    // If a delayed write of this node is in force, the next write replaces its content, whatever it
    // is.
    _mustReload = false;
    if (_role == ShardRole::Deputy && (!_parts.mayJoin(_context.self) || isSecondDeputy())) {
        withdraw();
        return;
    }
    _notBefore = _context.clock.now();
    _mustRenew = true;
    onTick(_notBefore);
}

bool ShardLeader::isOutdated() const {
    return _parts.record().version.era != _context.era.current();
}

/**
 * Keeps the leader's part as this node wrote it last, under the version to which the store was
 * restored.
 * @return whether no other node can lead.
 */
bool ShardLeader::takeOver(const QuotaShardRecord& returned) {
    const bool isOfOther =
        returned.writtenIn == _context.era.current() && returned.leader != _context.self;
    const bool mayHaveLost =
        _context.clock.now() >= _leaseUntil || _standbyState == StandbyState::Leaving;
    const bool isOfPresentEra = returned.version.era == _context.era.current();
    if (_role != ShardRole::Leader || isOfOther || mayHaveLost || !isOfPresentEra) {
        return false;
    }
    LogEvent("tenancy", LogLevel::Info, "quota.lead_kept")
        .field("shard", _context.shard)
        .field("version", returned.version)
        .field("version_lost", _parts.record().version);
    _parts.replaceVersion(returned.version);
    _parts.reserveForLost(_context.terms, _context.tenants(),
                          _context.era.shownAt() + lostGrantsCountFor(_context.terms));
    return true;
}

TimePoint ShardLeader::nextTick() const {
    if (_ended) {
        return TimePoint::max();
    }
    TimePoint next = _queue.dueAt();
    if (_standbyState == StandbyState::None && _role == ShardRole::Leader &&
        _askedAt + kIdleAfter > _nextStandby) {
        next = std::min(next, _nextStandby);
    }
    if (_calling) {
        return next;
    }
    const bool renews = _askedAt + kIdleAfter > _savedAt + kRenewEvery || !_queue.empty();
    if (renews && !_withdrawn) {
        next = std::min(next, std::max(_savedAt + kRenewEvery, _notBefore));
    }
    if (_needsAllowance && !_withdrawn) {
        next = std::min(next, std::max(_nextAllowanceAt, _notBefore));
    }
    if (_mustReload || _mustRenew || isOutdated() || (_withdrawn && hasPart()) ||
        _standbyState == StandbyState::Leaving || _standbyState == StandbyState::Joining) {
        next = std::min(next, _notBefore);
    }
    return next;
}

}  // namespace coralhoist::tenancy
