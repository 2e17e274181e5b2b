/** The choice of a successor, and the term under which the successor is announced. */
#include <algorithm>

#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using std::chrono::milliseconds;

/** Grace period in which a replica may catch up with a former primary that has stepped down. */
constexpr Duration kCatchUpGrace = milliseconds(250);
/**
 * Number of log records by which a successor may still be behind a primary that is to be replaced
 * while it serves.
 */
constexpr LogPosition kMaxSuccessorLag = 2;
/** A former primary is promoted again when no other server has all commits for this time. */
constexpr Duration kRepromoteAfter = milliseconds(600);
/**
 * A server that cannot serve its callers leads when no more suitable server could lead for this
 * time.
 */
constexpr Duration kLastResortTimeout = milliseconds(1500);
/** A promotion call without a response may be carried out this much later. */
constexpr Duration kLateCallWindow = milliseconds(2500);

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
 * A repeated announcement keeps its term. Otherwise each announcement that took no effect would
 * raise the announced term further above the term in which the successor will lead.
 */
Term GroupFailover::termToAnnounce() const {
    const bool repeated =
        _record.phase == PromotionPhase::Promoting && _record.successor == _successor;
    return repeated ? std::max(_record.term, newestShownTerm() + 1) : nextTerm();
}

/** @return whether the node that announced a successor has promoted it. */
bool GroupFailover::successorLeads() {
    if (_record.phase != PromotionPhase::Promoting) {
        return false;
    }
    const auto announced = _links.find(_record.successor);
    if (announced == _links.end() || !announced->second->report()) {
        return false;
    }
    const ServerReport& report = announced->second->report()->report;
    const bool current = announced->second->report()->requestedAt >= _phaseSince;
    if (!current || !report.primary || report.term < _record.term) {
        return false;
    }
    _successor = _record.successor;
    _successorTerm = report.term;
    _successorPosition = _record.base;
    return true;
}

/**
 * Chooses the most suitable of the servers that certainly have all acknowledged commits. A server
 * that cannot serve its callers leads only if no more suitable server can lead in time; the
 * more suitable server may be the former primary.
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
                                secured < kLastResortTimeout && hasBetterServer(suitability);
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

/** @return whether a more suitable server has not reported yet but accepts connections. */
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

/** @return whether the server certainly has every acknowledged commit. */
bool GroupFailover::isSafe(const CommitQuorum& quorum, const ServerName& server) const {
    const OpTime received =
        quorum.holdsAllCommits(server) ? quorum.find(server)->received : OpTime{};
    return quorum.holdsAllCommits(server) && holdsEarlierTerms(received) &&
           received >= _record.departedBound && !lacksLostTerms(quorum, server);
}

/**
 * Servers that left before any record named them count as having an empty log. Commits that they
 * acknowledged together with the replica that has the longest log would be lost with any other
 * successor. So suitability decides only among equal logs, unless the newest leader's own log shows
 * that nothing is missing.
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
 * An unanswered call for the announced successor may still be carried out. It would then replace
 * another successor that has acknowledged commits by that time.
 */
bool GroupFailover::mustAwaitCall(const ServerName& successor, TimePoint now) const {
    return _unansweredCallAt && now - *_unansweredCallAt < kLateCallWindow &&
           successor != _successor;
}

/**
 * @return whether a log up to this position has all commits acknowledged before the current term.
 */
bool GroupFailover::holdsEarlierTerms(const OpTime& position) const {
    // If no list has named the record's successor since this node started, the successor's log is
    // lost, and no longer log will appear.
    return position >= _record.base || !_servers.contains(_record.successor);
}

/**
 * A promotion that the store has lost may have had a later base than the record. The commits up to
 * that base are in the log of the primary, which has responded, so a server that lacks a part of
 * that log must not lead.
 */
bool GroupFailover::lacksLostTerms(const CommitQuorum& quorum, const ServerName& server) const {
    const MemberView* former = _former ? quorum.find(*_former) : nullptr;
    return _reason == FailoverReason::Lost && former != nullptr && isReplica(*former) &&
           quorum.find(server)->received < former->received;
}

/**
 * @return whether the primary should step down for the server. The successor of a misplaced primary
 * must be more suitable than the primary. The successor of a primary that is about to shut down
 * must be able to serve its callers, if any server is.
 */
bool GroupFailover::justifiesStepDown(const ServerName& server) const {
    if (_reason == FailoverReason::Misplaced) {
        return suitabilityOf(server) < suitabilityOf(*_former);
    }
    return suitabilityOf(server) != LeadSuitability::LastResort ||
           !hasBetterServer(LeadSuitability::LastResort);
}

/**
 * @return whether a server that stays has nearly the whole log of the primary, which still serves.
 */
bool GroupFailover::isSuccessorReady(TimePoint now) const {
    const auto former = _former ? _links.find(*_former) : _links.end();
    if (former == _links.end() || !isCurrent(*former->second, now)) {
        return false;
    }
    const OpTime target = former->second->report()->report.received;
    return std::any_of(_links.begin(), _links.end(), [&](const auto& entry) {
        const ListedServer* server = listed(entry.first);
        if (server == nullptr || !isStaying(*server) || entry.first == *_former ||
            !justifiesStepDown(entry.first) || !isCurrent(*entry.second, now)) {
            return false;
        }
        const OpTime received = entry.second->report()->report.received;
        return received.term == target.term &&
               received.position + kMaxSuccessorLag >= target.position;
    });
}

/**
 * @return the replica with the longest log, except the former primary, of the given suitability or
 * of any; of replicas with equal logs, the announced one or else one that stays.
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
