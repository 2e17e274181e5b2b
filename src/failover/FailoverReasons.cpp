/** Why a primary is replaced, and whether this node is the one to act on that now. */
#include <algorithm>

#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {

using pooling::ListedServer;
using pooling::PromotionPhase;

/**
 * What all nodes see, they would all claim at once; so they wait for their turns, and most find
 * that another one has claimed. What a node alone may have seen, it takes up at once.
 * @return whether this node acts on the reason now.
 */
bool GroupFailover::isOwnTurn(FailoverReason reason, TimePoint now) {
    if (reason != _found) {
        _found = reason;
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
    const std::size_t turn = std::min(_dependencies.turn(_group), kLastTurn);
    return now - _foundSince >= kTurn * turn;
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
    if (mustLeaveToHolder(now)) {
        return FailoverReason::None;
    }
    if (!_primary) {
        const bool lasting =
            _withoutPrimarySince && now - *_withoutPrimarySince > kNoPrimaryPatience;
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
    const bool suspected = _suspected == _primary->server && now - _suspectedAt < kSuspicionHolds;
    if (suspected && _suspicion != FailoverReason::None) {
        return _suspicion;
    }
    return isMisplaced(now) ? FailoverReason::Misplaced : FailoverReason::None;
}

/** A misplaced primary may show by time, and by what is decided elsewhere: it is looked for. */
bool GroupFailover::isAtRest(TimePoint now) const {
    const bool isIdle =
        _phase == Phase::Idle && !_busy && _links.empty() && _found == FailoverReason::None;
    const bool isRecordSettled = _record.phase == PromotionPhase::None && !mustRestore() &&
                                 !lacksRecord() && !mustLeaveToHolder(now);
    const bool mayBeMisplaced =
        _dependencies.placement != nullptr && _dependencies.placement->mayMovePrimaries();
    const bool hasPrimary = _primary.has_value() || _servers.empty();
    return isIdle && isRecordSettled && !mayBeMisplaced && hasPrimary &&
           findReason(now) == FailoverReason::None;
}

/** @return whether this node, in this life or an earlier one, wrote the record. */
bool GroupFailover::isOwn(const PromotionRecord& record) const {
    return record.holder.rfind(_dependencies.node + "/", 0) == 0;
}

/** @return whether another node has promoted so lately that holders would take turns. */
bool GroupFailover::mustLeaveToHolder(TimePoint now) const {
    return _record.term > 0 && !isOwn(_record) && now - _recordSeenAt < kHolderTime;
}

/** @return whether there is a server to replace the primary. */
bool GroupFailover::hasStayingServer() const {
    return std::any_of(_servers.begin(), _servers.end(), [this](const auto& entry) {
        return isStaying(entry.second) && entry.first != _primary->server;
    });
}

}  // namespace coralhoist::failover
