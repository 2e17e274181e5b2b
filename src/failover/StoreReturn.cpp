/** Repairs a group's record after the store was restored from an older copy. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {

using pooling::PromotionPhase;

pooling::PromotionNotice GroupFailover::notice() const {
    pooling::PromotionNotice notice =
        isLater(_newest, _record) ? _newest.notice() : _record.notice();
    notice.isConfirmed = !isUnconfirmed();
    return notice;
}

/** @return whether the store of the present era lacks a state that this node knows. */
bool GroupFailover::mustRestore() const {
    return _record.version.era == _dependencies.era.current() && isLater(_newest, _record);
}

/** @return whether a later promotion may be lost together with the last writes of the store. */
bool GroupFailover::isUnconfirmed() const {
    return _record.version.exists() ? !_record.isConfirmedIn(_record.version.era)
                                    : _dependencies.era.hasReturned();
}

/**
 * @return whether the record must be written for the present era. The era in which a record without
 * any promotion was written shows nodes that start later that the store was restored from an older
 * copy.
 */
bool GroupFailover::lacksRecord() const {
    const bool showsEras = _dependencies.era.current() != 0;
    return isUnconfirmed() || (showsEras && !_record.version.exists());
}

/**
 * A node that held the record in an earlier era calls no promotion after kCallMargin, and its last
 * call is carried out within the rest of kTakeOverAfter. A write of an earlier era may also replace
 * a record of the present era before the holder of that record learns of the replacement.
 */
bool GroupFailover::isClaimable(TimePoint now) const {
    const bool mayBeHeld = !_record.isClaimOf(_dependencies.era.current()) &&
                           _record.version.exists() && now - _recordSeenAt <= kTakeOverAfter;
    const bool hasEras = _dependencies.era.current() != 0;
    return _dependencies.era.isSettled(kTakeOverAfter) && !(hasEras && mayBeHeld);
}

/** Writes the newest known record into the store, under the holder that it names. */
void GroupFailover::restore(TimePoint now) {
    const std::size_t turn = std::min(_dependencies.turn(_group), kMaxTurn);
    const bool isOwnTurn = _incompleteSince && now - *_incompleteSince >= kTurnDelay * turn;
    if (isOwnTurn) {
        rewriteRecord(_newest, "promotion.restored");
    }
}

void GroupFailover::rewriteRecord(PromotionRecord record, const char* event) {
    const TimePoint now = _dependencies.clock.now();
    if (_busy || now < _nextRewriteAt) {
        return;
    }
    _busy = true;
    _nextRewriteAt = now + kConflictPause;
    record.version = _record.version;
    record.writtenIn = record.version.era;
    ++record.renewals;
    LogEvent("failover", LogLevel::Info, event)
        .field("group", _group)
        .field("phase", static_cast<int>(record.phase))
        .field("successor", record.successor)
        .field("term", record.term)
        .field("holder", record.holder)
        .field("record_version", record.version);
    _dependencies.store.save(_group, record,
                             [this, alive = std::weak_ptr<bool>(_alive), record,
                              attempt = _attempt](const SavedRecord& saved) {
                                 if (alive.expired()) {
                                     return;
                                 }
                                 _busy = attempt == _attempt ? false : _busy;
                                 if (saved.outcome == StoreOutcome::Done) {
                                     PromotionRecord written = record;
                                     written.version = saved.version;
                                     onRecord(written);
                                 }
                             });
}

bool GroupFailover::wantsConfirmation(TimePoint now) {
    const bool isClosed = _record.phase == PromotionPhase::None && !mustRestore();
    const bool isOfPresentEra = _record.version.era == _dependencies.era.current();
    if (_phase != Phase::Idle || !isClosed || !isOfPresentEra || !lacksRecord() ||
        !isClaimable(now) || !_primary) {
        return false;
    }
    const std::size_t turn = std::min(_dependencies.turn(_group), kMaxTurn);
    const TimePoint since =
        std::max(_incompleteSince.value_or(now), _dependencies.era.shownAt() + kTakeOverAfter);
    return now - since >= kTurnDelay * turn;
}

void GroupFailover::onLeadershipProven(const pooling::Primary& primary, TimePoint provenAt) {
    const bool isNamed = _record.term == 0 || primary.server == _record.successor;
    const bool isAfterLostCalls = provenAt >= _dependencies.era.shownAt() + kTakeOverAfter;
    if (isNamed && isAfterLostCalls && !hasLostPromotion(_dependencies.clock.now()) &&
        wantsConfirmation(_dependencies.clock.now())) {
        PromotionRecord record = _record;
        record.confirmedIn = record.version.era;
        rewriteRecord(record, "promotion.confirmed");
    }
}

/**
 * A lost promotion has neither a claim nor a node that drives it, and nothing else would end it:
 * no replica receives the writes, while the primary responds to every query. Until calls of lost
 * promotions can have no effect any more, a node may still drive it. A promotion ends it rather
 * than a mere order to resume, because a server that was ordered to step down may not lead any
 * more.
 */
void GroupFailover::onReceiversPaused(TimePoint at) {
    const TimePoint now = _dependencies.clock.now();
    const bool isAfterLostCalls = at >= _dependencies.era.shownAt() + kTakeOverAfter;
    if (isAfterLostCalls && now - at < kSuspicionValidity && wantsConfirmation(now)) {
        _pausedFoundAt = now;
    }
}

bool GroupFailover::hasLostPromotion(TimePoint now) const {
    return _pausedFoundAt && now - *_pausedFoundAt < kSuspicionValidity;
}

}  // namespace coralhoist::failover
