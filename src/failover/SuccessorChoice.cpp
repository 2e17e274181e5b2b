/** The choice of a successor, and the term under which it is announced. */
#include <algorithm>

#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using std::chrono::milliseconds;

/** Grace in which a replica may catch up with a former primary that has stepped down. */
constexpr Duration kCatchUpGrace = milliseconds(250);
/** Records by which a successor may still be behind a primary that leaves. */
constexpr LogPosition kNearlyCaughtUp = 2;
/** A former primary is promoted again when no other server has all commits for so long. */
constexpr Duration kRepromoteAfter = milliseconds(600);
/** One that can't serve its callers leads when no better server could for so long. */
constexpr Duration kLastResortPatience = milliseconds(1500);
/** A promotion call without an answer may be carried out so much later. */
constexpr Duration kLateCall = milliseconds(2500);

}  // namespace

/** @return the highest term that a member has shown. */
Term GroupFailover::newestShownTerm() const {
    Term newest = _newestTerm;
    for (const auto& [name, link] : _links) {
        if (link->report()) {
            newest = std::max(newest, link->report()->report.term);
        }
    }
    return newest;
}

/** @return a term above all that were shown or announced. */
Term GroupFailover::nextTerm() const {
    return std::max(newestShownTerm(), _record.term) + 1;
}

/**
 * An announcement that is repeated keeps its term: with each that took no effect, the guess would
 * go further ahead of the term in which the successor will lead.
 */
Term GroupFailover::termToAnnounce() const {
    const bool repeated =
        _record.phase == PromotionPhase::Promoting && _record.successor == _successor;
    return repeated ? std::max(_record.term, newestShownTerm() + 1) : nextTerm();
}

/** @return whether an announced successor was promoted by whoever announced it. */
bool GroupFailover::successorLeads() {
    if (_record.phase != PromotionPhase::Promoting) {
        return false;
    }
    const auto announced = _links.find(_record.successor);
    if (announced == _links.end() || !announced->second->report()) {
        return false;
    }
    const ServerReport& report = announced->second->report()->report;
    const bool current = announced->second->report()->askedAt >= _phaseSince;
    if (!current || !report.primary || report.term < _record.term) {
        return false;
    }
    _successor = _record.successor;
    _successorTerm = report.term;
    _successorPosition = _record.base;
    return true;
}

/**
 * Of the servers that are sure to have all acknowledged commits, the one that suits best. One that
 * can't serve its callers leads only when no better one can in time; the former primary, when it
 * suits better, too.
 */
std::optional<ServerName> GroupFailover::chooseSuccessor(const CommitQuorum& quorum,
                                                         TimePoint now) const {
    const Duration secured = now - *_securedAt;
    std::optional<ServerName> lastResort;
    for (const LeadSuitability suitability :
         {LeadSuitability::Preferred, LeadSuitability::Acceptable, LeadSuitability::LastResort}) {
        std::optional<ServerName> best = mostAdvanced(quorum, suitability, now);
        if (!best) {
            continue;
        }
        const bool mayCatchUp = !quorum.reachesFormerLeader(*best) && quorum.isBehind(*best);
        if (mayCatchUp && secured < kCatchUpGrace) {
            return std::nullopt;
        }
        if (!mayLead(quorum, *best)) {
            continue;
        }
        const bool isHeldBack = suitability == LeadSuitability::LastResort &&
                                secured < kLastResortPatience && hasBetterServer(suitability);
        if (secured < kCatchUpGrace && awaitsBetterServer(quorum, suitability)) {
            return std::nullopt;
        }
        if (!isHeldBack) {
            return best;
        }
        lastResort = best;
    }
    const bool prefersFormer = _former && (!lastResort || _reason == FailoverReason::Misplaced ||
                                           suitabilityOf(*_former) < LeadSuitability::LastResort);
    const bool formerOnly = prefersFormer && secured > kRepromoteAfter && isSafe(quorum, *_former);
    return formerOnly ? _former : std::nullopt;
}

/** @return whether a server that suits better has not been heard, and takes connections. */
bool GroupFailover::awaitsBetterServer(const CommitQuorum& quorum,
                                       LeadSuitability suitability) const {
    return std::any_of(_links.begin(), _links.end(), [&](const auto& entry) {
        const ListedServer* server = listed(entry.first);
        const MemberView* member = quorum.find(entry.first);
        return server != nullptr && isStaying(*server) && member != nullptr &&
               member->role == MemberRole::Unknown && !entry.second->isRefused() &&
               suitabilityOf(entry.first) < suitability;
    });
}

/** @return whether it is sure to have every acknowledged commit. */
bool GroupFailover::isSafe(const CommitQuorum& quorum, const ServerName& server) const {
    return quorum.holdsAllCommits(server) && holdsEarlierTerms(quorum.find(server)->received) &&
           !lacksLostTerms(quorum, server);
}

/**
 * Servers that are gone count as having nothing: what they acknowledged with the replica that has
 * the longest log would be lost with any other one. So suitability decides among equal logs only,
 * unless the newest leader's own log shows that nothing is missing.
 */
bool GroupFailover::mayLead(const CommitQuorum& quorum, const ServerName& server) const {
    if (quorum.reachesFormerLeader(server)) {
        return true;
    }
    const std::optional<ServerName> furthest =
        mostAdvanced(quorum, std::nullopt, _dependencies.clock.now());
    return isSafe(quorum, server) &&
           quorum.find(server)->received >= quorum.find(*furthest)->received;
}

/**
 * A call for the announced successor that was not answered may still be carried out; it would
 * replace another successor that has acknowledged commits by then.
 */
bool GroupFailover::mustAwaitCall(const ServerName& successor, TimePoint now) const {
    return _unansweredCallAt && now - *_unansweredCallAt < kLateCall && successor != _successor;
}

/** @return whether a log up to there has all commits acknowledged before the current term. */
bool GroupFailover::holdsEarlierTerms(const OpTime& position) const {
    // A successor that no list has named since this node began took its log with it; nothing better
    // will come.
    return position >= _record.base || !_servers.contains(_record.successor);
}

/**
 * A promotion that the store has lost may have had a later base than the record. Its commits are in
 * the log of the primary, which has answered: a server that lacks some of it must not lead.
 */
bool GroupFailover::lacksLostTerms(const CommitQuorum& quorum, const ServerName& server) const {
    const MemberView* former = _former ? quorum.find(*_former) : nullptr;
    return _reason == FailoverReason::Lost && former != nullptr && isReplica(*former) &&
           quorum.find(server)->received < former->received;
}

/**
 * @return whether the primary should step down for that server: for one that suits better than a
 * misplaced primary; for one that can serve, if there is any, in place of a leaving one.
 */
bool GroupFailover::isWorthTheMove(const ServerName& server) const {
    if (_reason == FailoverReason::Misplaced) {
        return suitabilityOf(server) < suitabilityOf(*_former);
    }
    return suitabilityOf(server) != LeadSuitability::LastResort ||
           !hasBetterServer(LeadSuitability::LastResort);
}

/** @return whether a server that stays has nearly all that the primary has, which still serves. */
bool GroupFailover::isSuccessorReady(TimePoint now) const {
    const auto former = _former ? _links.find(*_former) : _links.end();
    if (former == _links.end() || !isCurrent(*former->second, now)) {
        return false;
    }
    const OpTime target = former->second->report()->report.received;
    return std::any_of(_links.begin(), _links.end(), [&](const auto& entry) {
        const ListedServer* server = listed(entry.first);
        if (server == nullptr || !isStaying(*server) || entry.first == *_former ||
            !isWorthTheMove(entry.first) || !isCurrent(*entry.second, now)) {
            return false;
        }
        const OpTime received = entry.second->report()->report.received;
        return received.term == target.term &&
               received.position + kNearlyCaughtUp >= target.position;
    });
}

/**
 * @return the replica of that suitability, or of any, with the longest log but the former primary;
 * of equals, one that stays.
 */
std::optional<ServerName> GroupFailover::mostAdvanced(const CommitQuorum& quorum,
                                                      std::optional<LeadSuitability> suitability,
                                                      TimePoint now) const {
    std::optional<ServerName> best;
    OpTime bestPosition;
    bool bestStays = false;
    for (const MemberView& member : quorum.members()) {
        const ListedServer* server = listed(member.server);
        const auto stopped = _notRunning.find(member.server);
        const bool excluded = stopped != _notRunning.end() && now < stopped->second;
        const bool former = _former && member.server == *_former;
        if (!isReplica(member) || server == nullptr || excluded || former ||
            (suitability && suitabilityOf(member.server) != *suitability)) {
            continue;
        }
        const bool stays = isStaying(*server);
        const bool announced =
            _record.phase == PromotionPhase::Promoting && member.server == _record.successor;
        const bool better =
            !best || member.received > bestPosition ||
            (member.received == bestPosition && (announced || (stays && !bestStays)));
        if (better) {
            best = member.server;
            bestPosition = member.received;
            bestStays = stays;
        }
    }
    return best;
}

}  // namespace coralhoist::failover
