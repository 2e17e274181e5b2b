/** Why a primary is replaced, and whether this node acts on the reason now. */
#include <algorithm>

#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {

using pooling::ListedServer;
using pooling::PromotionPhase;

/**
 * Nodes would all claim at once on a condition that all of them see. So each node waits for its
 * turn, and most nodes find that another one has claimed. A node acts at once on a condition that
 * it alone may have seen.
 * @return whether this node acts on the reason now.
 */
bool GroupFailover::isOwnTurn(FailoverReason reason, TimePoint now) {
    if (reason != _foundReason) {
        _foundReason = reason;
        _foundSince = now;
    }
    switch (reason) {
        case FailoverReason::None:
            return false;
        case FailoverReason::Silent:
        case FailoverReason::Unreachable:
        case FailoverReason::WritesUnanswered:
        case FailoverReason::StatementsLost:
        case FailoverReason::Lost:
            return true;
        case FailoverReason::Misplaced:
            return now - _foundSince >= moveDelay();
        case FailoverReason::Leaving:
        case FailoverReason::NoPrimary:
        case FailoverReason::Abandoned:
            break;
    }
    if (isOwn(_record) && reason == FailoverReason::Abandoned) {
        return true;
    }
    const std::size_t turn = std::min(_dependencies.turn(_group), kMaxTurn);
    return now - _foundSince >= kTurnDelay * turn;
}

FailoverReason GroupFailover::findReason(TimePoint now) const {
    if (_servers.empty()) {
        return FailoverReason::None;
    }
    if (_record.phase != PromotionPhase::None) {
        const bool stale = now - _recordSeenAt > kTakeOverAfter;
        const bool isOwnClaim = isOwn(_record) && _record.isClaimOf(_dependencies.era.current());
        return isOwnClaim || stale ? FailoverReason::Abandoned : FailoverReason::None;
    }
    if (isHolderExclusive(now)) {
        return FailoverReason::None;
    }
    if (!_primary) {
        const bool lasting =
            _withoutPrimarySince && now - *_withoutPrimarySince > kNoPrimaryTimeout;
        return lasting ? FailoverReason::NoPrimary : FailoverReason::None;
    }
    const ListedServer* primary = listed(_primary->server);
    if (primary != nullptr && (primary->announcement.draining || primary->removed) &&
        hasStayingServer()) {
        return FailoverReason::Leaving;
    }
    if (hasLostPromotion(now)) {
        return FailoverReason::Lost;
    }
    const bool suspected =
        _suspected == _primary->server && now - _suspectedAt < kSuspicionValidity;
    if (suspected && _suspicion != FailoverReason::None) {
        return _suspicion;
    }
    return isMisplaced(now) ? FailoverReason::Misplaced : FailoverReason::None;
}

/**
 * A primary may become misplaced by the passage of time or by decisions made elsewhere, so a group
 * whose primary may move is never at rest.
 */
bool GroupFailover::isAtRest(TimePoint now) const {
    const bool isIdle =
        _phase == Phase::Idle && !_busy && _links.empty() && _foundReason == FailoverReason::None;
    const bool isRecordSettled = _record.phase == PromotionPhase::None && !mustRestore() &&
                                 !lacksRecord() && !isHolderExclusive(now);
    const bool mayBeMisplaced =
        _dependencies.placement != nullptr && _dependencies.placement->mayMovePrimaries();
    const bool hasPrimary = _primary.has_value() || _servers.empty();
    const bool isComplete = _returned.empty() && departingServers().empty();
    return isIdle && isRecordSettled && isComplete && !mayBeMisplaced && hasPrimary &&
           findReason(now) == FailoverReason::None;
}

/** @return whether any incarnation of this node wrote the record. */
bool GroupFailover::isOwn(const PromotionRecord& record) const {
    return record.holder.rfind(_dependencies.node + "/", 0) == 0;
}

/**
 * @return whether another node has promoted so recently that a promotion by this node would make
 * nodes promote alternately.
 */
bool GroupFailover::isHolderExclusive(TimePoint now) const {
    return _record.term > 0 && !isOwn(_record) && now - _recordSeenAt < kHolderExclusiveTime;
}

/** @return whether there is a server that can replace the primary. */
bool GroupFailover::hasStayingServer() const {
    return std::any_of(_servers.begin(), _servers.end(), [this](const auto& entry) {
        return isStaying(entry.second) && entry.first != _primary->server;
    });
}

}  // namespace coralhoist::failover
