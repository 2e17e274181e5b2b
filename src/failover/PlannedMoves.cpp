/** Planned moves: a primary that should not lead where it runs is replaced while it serves. */
#include <algorithm>

#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;

/** After a change of primary, a less suitable primary stays for this time. */
constexpr Duration kMovePause = std::chrono::minutes(3);
/** Time for which a node waits in one attempt for a more suitable server to catch up. */
constexpr Duration kSuccessorTimeout = std::chrono::milliseconds(1500);
constexpr Duration kMoveClaimTimeout = std::chrono::milliseconds(300);
constexpr Duration kNoSuccessorPause = std::chrono::milliseconds(1000);
/** Pauses after moves that stopped the primary but promoted no more suitable server. */
constexpr Duration kFirstRetryPause = std::chrono::seconds(2);
constexpr Duration kLongestRetryPause = std::chrono::seconds(60);
/**
 * A node that waits for a successor queries all servers, so only the first nodes in order begin a
 * move at first.
 */
constexpr std::size_t kUndelayedTurns = 3;
constexpr Duration kLaterTurnsDelay = std::chrono::seconds(2);

}  // namespace

const char* describe(LeadSuitability suitability) {
    switch (suitability) {
        case LeadSuitability::Preferred:
            return "preferred";
        case LeadSuitability::Acceptable:
            return "acceptable";
        case LeadSuitability::LastResort:
            return "last_resort";
    }
    return "unknown";
}

LeadSuitability GroupFailover::suitabilityOf(const ServerName& server) const {
    const ListedServer* entry = listed(server);
    if (_dependencies.placement == nullptr || entry == nullptr) {
        return LeadSuitability::Preferred;
    }
    return _dependencies.placement->suitabilityOf(_group, entry->announcement);
}

/** @return whether some listed server that stays is more suitable than that. */
bool GroupFailover::hasBetterServer(LeadSuitability suitability) const {
    return std::any_of(_servers.begin(), _servers.end(), [this, suitability](const auto& entry) {
        return isStaying(entry.second) && suitabilityOf(entry.first) < suitability;
    });
}

/** @return whether the server is neither removed nor about to shut down. */
bool GroupFailover::isStaying(const ListedServer& server) {
    return !server.removed && !server.announcement.draining;
}

/**
 * @return whether the primary must be replaced by a planned move now. A primary that cannot serve
 * its callers moves at once. Any other primary stays for kMovePause after a change of primary,
 * whichever node made the change, because a node that has just started takes the last change as
 * new.
 */
bool GroupFailover::isMisplaced(TimePoint now) const {
    const ListedServer* primary = _primary ? listed(_primary->server) : nullptr;
    if (_dependencies.placement == nullptr || primary == nullptr || now < _nextMoveAt ||
        !hasSettledList(now) ||
        !_dependencies.placement->mustHandOver(_group, primary->announcement)) {
        return false;
    }
    const LeadSuitability suitability = suitabilityOf(_primary->server);
    const bool isPausing = suitability != LeadSuitability::LastResort && _record.term > 0 &&
                           now - _recordSeenAt < kMovePause;
    return !isPausing && hasBetterServer(suitability);
}

/** @return how long this node leaves a planned move to the nodes with earlier turns. */
Duration GroupFailover::moveDelay() const {
    const std::size_t turn = std::min(_dependencies.turn(_group), kMaxTurn);
    return kTurnDelay * turn + (turn < kUndelayedTurns ? Duration(0) : kLaterTurnsDelay);
}

/**
 * A claim stops all writes, so it is made only when a successor is ready. Until then the primary
 * serves, and no action of this node has to be undone.
 */
void GroupFailover::awaitSuccessor(TimePoint now) {
    const FailoverReason reason = findReason(now);
    const bool isStillDue =
        reason == FailoverReason::Misplaced || (needsCheck(reason) && isMisplaced(now));
    if (!isStillDue || _former != _primary->server || mustRestore()) {
        giveUp("the reason no longer applies", Duration(0));
        return;
    }
    requestStatuses(now);
    if (now - _phaseSince > kCheckTimeout && !isFresh(link(*_former), now)) {
        giveUp("the primary does not respond", Duration(0));
        return;
    }
    if (isSuccessorReady(now)) {
        if (_dependencies.moveRateLimiter == nullptr ||
            _dependencies.moveRateLimiter->tryAcquire(now)) {
            enter(Phase::Loading);
        }
        return;
    }
    if (now - _phaseSince >= kSuccessorTimeout) {
        logWaiting(viewMembers(now), now);
        giveUp("no better server has caught up", kNoSuccessorPause);
    }
}

/**
 * @return how long a planned promotion waits for its successor once the record is claimed, which
 * stops writes.
 */
Duration GroupFailover::claimTimeout() const {
    return _reason == FailoverReason::Misplaced ? kMoveClaimTimeout : kLeavingTimeout;
}

/**
 * Ends a claim under which no server was sent an order. The record returns to its content before
 * the claim, so that the primary, which has led throughout, continues.
 */
void GroupFailover::withdraw() {
    PromotionRecord record = _record;
    record.phase = PromotionPhase::None;
    enter(Phase::Withdrawing);
    save(record, &GroupFailover::onWithdrawn);
}

void GroupFailover::onWithdrawn(const SavedRecord& saved, TimePoint /*requestedAt*/) {
    delayNextMove(_dependencies.clock.now());
    // If the store did not accept the withdrawal, the claim stands and is carried on to a
    // promotion.
    giveUp(saved.outcome == StoreOutcome::Done ? "no better server keeps up"
                                               : "the store did not accept the withdrawal",
           kConflictPause);
}

/**
 * A move that promotes no more suitable server interrupts writes each time, so the pause before the
 * next move grows.
 */
void GroupFailover::noteMoved(TimePoint now) {
    if (_reason != FailoverReason::Misplaced || !_former) {
        return;
    }
    if (suitabilityOf(_successor) < suitabilityOf(*_former)) {
        ++_plannedMoves;
        _movePause = Duration(0);
        return;
    }
    delayNextMove(now);
}

void GroupFailover::delayNextMove(TimePoint now) {
    _movePause = std::clamp(_movePause * 2, kFirstRetryPause, kLongestRetryPause);
    _nextMoveAt = now + _movePause;
}

}  // namespace coralhoist::failover
