/**
 * The claim on a group's record: reading the record, writing it under its version, and losing the
 * claim.
 */
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {

using pooling::PromotionPhase;

void GroupFailover::load() {
    if (_busy) {
        return;
    }
    _busy = true;
    _dependencies.store.load(_group, [this, alive = std::weak_ptr<bool>(_alive),
                                      attempt = _attempt](const LoadedRecord& loaded) {
        if (!alive.expired() && attempt == _attempt) {
            _busy = false;
            onLoaded(loaded);
        }
    });
}

void GroupFailover::onLoaded(const LoadedRecord& loaded) {
    if (_phase != Phase::Loading) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    if (loaded.outcome != StoreOutcome::Done) {
        // Nothing is promoted without the store, because no node could know which one may promote.
        _storePause = nextBackoff(_storePause, kStorePause, kLongestStorePause);
        giveUp("the store can't be read", _storePause);
        return;
    }
    _storePause = Duration(0);
    onRecord(loaded.record);
    if (mustRestore() || !isClaimable(now)) {
        giveUp("the store lacks the newest record, or an earlier claim may still take effect",
               kConflictPause);
        return;
    }
    // A claim of this incarnation takes over a record of an earlier incarnation.
    const bool isHeld = _record.isClaimOf(_dependencies.era.current());
    const bool own = isHeld && _record.holder == _dependencies.holder;
    if (_record.phase == PromotionPhase::None) {
        if (isHolderExclusive(now)) {
            giveUp("another node has just promoted", kConflictPause);
            return;
        }
        claim();
    } else if (own) {
        // This node's own announcement may be old, so its basis is checked again.
        _successor = _record.successor;
        _announcedVersion = _record.version;
        enterSecuring(now);
    } else if ((isHeld && isOwn(_record)) || now - _recordSeenAt > kTakeOverAfter) {
        claim();
    } else {
        giveUp("another node drives the promotion", kConflictPause);
    }
}

void GroupFailover::save(PromotionRecord record,
                         void (GroupFailover::*done)(const SavedRecord&, TimePoint)) {
    if (record.version.era != _dependencies.era.current()) {
        giveUp("the store was restored from an older copy", kConflictPause);
        return;
    }
    _busy = true;
    record.holder = _dependencies.holder;
    record.writtenIn = record.version.era;
    ++record.renewals;
    const TimePoint requestedAt = _dependencies.clock.now();
    _dependencies.store.save(_group, record,
                             [this, alive = std::weak_ptr<bool>(_alive), record, done, requestedAt,
                              attempt = _attempt](const SavedRecord& saved) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 if (saved.outcome == StoreOutcome::Done) {
                                     PromotionRecord written = record;
                                     written.version = saved.version;
                                     _claimedUntil = requestedAt + kClaimValidity;
                                     onRecord(written);
                                 }
                                 if (attempt == _attempt) {
                                     _busy = false;
                                     (this->*done)(saved, requestedAt);
                                 }
                             });
}

void GroupFailover::claim() {
    PromotionRecord record = _record;
    _claimedClosed = record.phase == PromotionPhase::None;
    // An announced successor may lead already; its announcement stays until another one follows.
    record.phase = record.phase == PromotionPhase::Promoting ? PromotionPhase::Promoting
                                                             : PromotionPhase::Preparing;
    enter(Phase::Claiming);
    save(record, &GroupFailover::onClaimed);
}

void GroupFailover::onClaimed(const SavedRecord& saved, TimePoint /*requestedAt*/) {
    const bool overtaken = _record.holder != _dependencies.holder;
    if (saved.outcome == StoreOutcome::Done && !overtaken) {
        _announcedVersion = saved.version;
        enterSecuring(_dependencies.clock.now());
        return;
    }
    giveUp(saved.outcome == StoreOutcome::Conflict ? "another node claimed the record first"
                                                   : "the store did not accept the claim",
           saved.outcome == StoreOutcome::Conflict ? kConflictPause : kStorePause);
}

void GroupFailover::refreshRecord(TimePoint now) {
    if (!_busy && now >= _nextRefreshAt) {
        _nextRefreshAt = now + kRefreshInterval;
        save(_record, &GroupFailover::onRefreshed);
    }
}

void GroupFailover::onRefreshed(const SavedRecord& saved, TimePoint /*requestedAt*/) {
    if (saved.outcome == StoreOutcome::Conflict &&
        (_phase == Phase::Securing || _phase == Phase::Closing)) {
        giveUp("another node took the record over", kConflictPause);
    } else if (saved.outcome == StoreOutcome::Done && _phase == Phase::Closing) {
        enter(Phase::Closing);
    }
}

/** @return whether the present phase relies on the record as this node's claim to promote. */
bool GroupFailover::isDriving() const {
    switch (_phase) {
        case Phase::Idle:
        case Phase::Checking:
        case Phase::Awaiting:
        case Phase::Loading:
            return false;
        case Phase::Claiming:
        case Phase::Securing:
        case Phase::Announcing:
        case Phase::Calling:
        case Phase::Confirming:
        case Phase::Closing:
        case Phase::Withdrawing:
            return true;
    }
    return false;
}

}  // namespace coralhoist::failover
