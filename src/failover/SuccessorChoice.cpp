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

std::optional<ServerName> GroupFailover::chooseSuccessor(const CommitQuorum& quorum,
                                                         TimePoint now) const {
    std::optional<ServerName> best = mostAdvanced(quorum, now);
    if (best && quorum.reachesFormerLeader(*best)) {
        return best;
    }
    if (best && quorum.isBehind(*best) && now - *_securedAt < kCatchUpGrace) {
        return std::nullopt;
    }
    const auto isSafe = [this, &quorum](const ServerName& server) {
        return quorum.holdsAllCommits(server) && holdsEarlierTerms(quorum.find(server)->received) &&
               !lacksLostTerms(quorum, server);
    };
    if (best && isSafe(*best)) {
        return best;
    }
    const bool formerOnly = _former && now - *_securedAt > kRepromoteAfter && isSafe(*_former);
    return formerOnly ? _former : std::nullopt;
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

/** @return whether a server that stays has nearly all that the leaving primary has. */
bool GroupFailover::isSuccessorReady(TimePoint now) const {
    const auto former = _former ? _links.find(*_former) : _links.end();
    if (former == _links.end() || !isFresh(*former->second, now)) {
        return false;
    }
    const OpTime target = former->second->report()->report.received;
    return std::any_of(_links.begin(), _links.end(), [&](const auto& entry) {
        const ListedServer* server = listed(entry.first);
        const bool stays = server != nullptr && !server->removed && !server->announcement.draining;
        if (!stays || entry.first == *_former || !isFresh(*entry.second, now)) {
            return false;
        }
        const OpTime received = entry.second->report()->report.received;
        return received.term == target.term &&
               received.position + kNearlyCaughtUp >= target.position;
    });
}

/** @return the replica with the longest log but the former primary; of equals, one that stays. */
std::optional<ServerName> GroupFailover::mostAdvanced(const CommitQuorum& quorum,
                                                      TimePoint now) const {
    std::optional<ServerName> best;
    OpTime bestPosition;
    bool bestStays = false;
    for (const MemberView& member : quorum.members()) {
        const ListedServer* server = listed(member.server);
        const auto stopped = _notRunning.find(member.server);
        const bool excluded = stopped != _notRunning.end() && now < stopped->second;
        const bool former = _former && member.server == *_former;
        if (!isReplica(member) || server == nullptr || excluded || former) {
            continue;
        }
        const bool stays = !server->removed && !server->announcement.draining;
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
