/** Keeping former primaries from committing, and the choice of a successor. */
#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;
using std::chrono::milliseconds;

/** Silent members make the others be paused after this time; nothing is concluded from silence. */
constexpr Duration kSilencePatience = milliseconds(350);
/**
 * A server counts as gone when its announcement has been removed for the first time and it refuses
 * connections or has been silent for the second. Until then it may come back with its log, lead and
 * receive: servers that crash are back after 3 to 8 s, announcements of living ones after about 2
 * s, and servers with full slots answered after up to 1,141 ms. Two servers that are gone for good
 * at once keep a group without a primary for the first time.
 */
constexpr Duration kGoneAfter = std::chrono::seconds(10);
constexpr Duration kGoneSilence = milliseconds(2000);
/** Grace in which a replica may catch up with a former primary that has stepped down. */
constexpr Duration kCatchUpGrace = milliseconds(250);
/** What a server has told counts for so long, and for twice the time that its answer took. */
constexpr Duration kReportHolds = milliseconds(400);
/** Records by which a successor may still be behind a primary that leaves. */
constexpr LogPosition kNearlyCaughtUp = 2;
/** A former primary is promoted again when no other server has all commits for so long. */
constexpr Duration kRepromoteAfter = milliseconds(600);
/** A promotion call without an answer may be carried out so much later. */
constexpr Duration kLateCall = milliseconds(2500);

}  // namespace

Term GroupFailover::nextTerm() const {
    Term newest = std::max(_newestTerm, _record.term);
    for (const auto& [name, link] : _links) {
        if (link->report()) {
            newest = std::max(newest, link->report()->report.term);
        }
    }
    return newest + 1;
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

/** Everyone who leads is told to step down, and a suspected primary that has told nothing yet. */
void GroupFailover::orderFormers() {
    const Term term = nextTerm();
    for (const auto& [name, member] : _links) {
        const bool suspected = _former && name == *_former && !member->report();
        const bool leads = member->report() && member->report()->report.primary;
        if (leads) {
            _former = name;
        }
        if (leads || suspected) {
            member->request(ServerCommand::Kind::StepDown, term);
        }
    }
}

/**
 * While some member is silent, it may lead, so that no other may receive. A replica that has
 * restarted has forgotten its pause and is told again.
 */
void GroupFailover::pauseReceivers(const CommitQuorum& quorum, TimePoint now) {
    if (quorum.formerLeader() != nullptr) {
        return;
    }
    const bool silent =
        std::any_of(_links.begin(), _links.end(), [this, &quorum, now](const auto& entry) {
            const MemberView* member = quorum.find(entry.first);
            const TimePoint heard =
                std::max(_phaseSince, entry.second->heardAt().value_or(_phaseSince));
            return member != nullptr && member->role == MemberRole::Unknown &&
                   (entry.second->isRefused() || now - heard > kSilencePatience);
        });
    if (!silent) {
        return;
    }
    const Term term = nextTerm();
    for (const auto& [name, member] : _links) {
        const MemberView* view = quorum.find(name);
        const bool paused = view != nullptr && view->role == MemberRole::Paused;
        if (!paused) {
            member->request(ServerCommand::Kind::Pause, term);
        }
    }
}

/** @return whether the server has ended for good, so that it leads, receives and holds nothing. */
bool GroupFailover::isGone(const ListedServer& server, const MemberLink& member,
                           TimePoint now) const {
    if (isAddressTaken(server) && (server.removed || member.isReplaced())) {
        return true;
    }
    const bool longRemoved = server.removed && now - server.removedAt >= kGoneAfter;
    return longRemoved &&
           (member.isRefused() || member.isReplaced() || member.isSilentFor(kGoneSilence, now));
}

/** @return whether another server is listed at the address: it has the log of the former one. */
bool GroupFailover::isAddressTaken(const ListedServer& server) const {
    const pooling::ServerAddress& address = server.announcement.address;
    return std::any_of(_servers.begin(), _servers.end(), [&address](const auto& entry) {
        const pooling::ServerAddress& other = entry.second.announcement.address;
        return !entry.second.removed && other.server != address.server &&
               other.host == address.host && other.port == address.port;
    });
}

/**
 * The record names the newest leader, for no server is promoted without it. While a promotion is
 * announced, its successor may lead or not; then nobody is certain.
 */
ServerName GroupFailover::newestLeader() const {
    if (_record.phase == PromotionPhase::Promoting) {
        return {};
    }
    if (_record.term > 0) {
        return _record.successor;
    }
    return _former.value_or(ServerName());
}

CommitQuorum GroupFailover::viewMembers(TimePoint now) const {
    std::vector<MemberView> members;
    for (const auto& [name, member] : _links) {
        const ListedServer* server = listed(name);
        if (server == nullptr || isGone(*server, *member, now)) {
            continue;
        }
        MemberView view;
        view.server = name;
        if (isFresh(*member, now) && member->report()->askedAt >= _phaseSince) {
            const ServerReport& report = member->report()->report;
            const bool paused = member->paused() && report.heldTerm > 0 &&
                                report.heldTerm >= member->paused()->report.heldTerm;
            view.role = report.primary ? MemberRole::Leading
                        : paused       ? MemberRole::Paused
                                       : MemberRole::Following;
            view.term = report.term;
            view.received = report.received;
            view.isSettled = paused || (_securedAt && member->report()->askedAt >= *_securedAt);
        }
        members.push_back(view);
    }
    return {std::move(members), newestLeader()};
}

std::optional<ServerName> GroupFailover::chooseSuccessor(const CommitQuorum& quorum,
                                                         TimePoint now) const {
    const std::optional<ServerName> best = mostAdvanced(quorum, now);
    if (best && quorum.reachesFormerLeader(*best)) {
        return best;
    }
    if (best && quorum.isBehind(*best) && now - *_securedAt < kCatchUpGrace) {
        return std::nullopt;
    }
    const auto isSafe = [this, &quorum](const ServerName& server) {
        return quorum.holdsAllCommits(server) && holdsEarlierTerms(quorum.find(server)->received);
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

bool GroupFailover::isFresh(const MemberLink& member, TimePoint now) const {
    if (!member.report()) {
        return false;
    }
    const MemberAnswer& answer = *member.report();
    return now - answer.askedAt < kReportHolds + 2 * (answer.answeredAt - answer.askedAt);
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
        const bool replica =
            member.role == MemberRole::Following || member.role == MemberRole::Paused;
        if (!replica || server == nullptr || excluded || former) {
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

/**
 * @return what each member counts as and what it has told, for logs: name, role, term, position,
 * pause, the age of the answer and how long it took, so that a log shows whom a choice could not
 * compare.
 */
std::string GroupFailover::describeMembers(const CommitQuorum& quorum, TimePoint now) const {
    const auto inMilliseconds = [](Duration time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    std::ostringstream text;
    for (const auto& [name, link] : _links) {
        text << (text.tellp() > 0 ? ";" : "") << name << ':';
        const MemberView* view = quorum.find(name);
        text << (view == nullptr ? "gone" : describe(view->role)) << ',';
        if (!link->report()) {
            text << "silent";
            continue;
        }
        const ServerReport& report = link->report()->report;
        text << (report.primary ? "primary" : "replica") << ',' << report.term << ','
             << report.received.term << '.' << report.received.position
             << ",held=" << report.heldTerm
             << ",age_ms=" << inMilliseconds(now - link->report()->answeredAt)
             << ",took_ms=" << inMilliseconds(link->report()->answeredAt - link->report()->askedAt);
    }
    return text.str();
}

}  // namespace coralhoist::failover
