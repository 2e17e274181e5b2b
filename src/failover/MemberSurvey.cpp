/** The members' reports and the roles derived from them; orders to step down and to pause. */
#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;
using std::chrono::milliseconds;

/**
 * Members that do not respond cause the others to be paused after this time; nothing else is
 * concluded from a missing response.
 */
constexpr Duration kSilenceTimeout = milliseconds(350);
/** A server's report is valid for this time plus twice the time that the response took. */
constexpr Duration kReportValidity = milliseconds(400);

}  // namespace

/**
 * Requests the status of every server whose last report was requested kStatusInterval ago or
 * earlier.
 */
void GroupFailover::requestStatuses(TimePoint now) {
    for (const auto& [name, server] : _servers) {
        MemberLink& member = link(name);
        if (!member.report() || now - member.report()->requestedAt >= kStatusInterval) {
            member.queryStatus();
        }
    }
}

void GroupFailover::logWaiting(const CommitQuorum& quorum, TimePoint now) {
    if (now - std::max(_waitingLoggedAt, _phaseSince) < kWaitingLogInterval) {
        return;
    }
    _waitingLoggedAt = now;
    LogEvent("failover", LogLevel::Info, "failover.waiting")
        .field("group", _group)
        .field("may_acknowledge", quorum.mayAcknowledge() ? "yes" : "no")
        .field("members", describeMembers(quorum, now));
}

/** Orders every leader to step down, and also a suspected primary that has not reported yet. */
void GroupFailover::orderStepDown() {
    const Term term = nextTerm();
    for (const auto& [name, member] : _links) {
        const bool suspected = _former && name == *_former && !member->report();
        const bool leads = member->report() && member->report()->report.primary;
        if (leads) {
            _former = name;
        }
        if (leads || suspected) {
            member->order(ServerCommand::Kind::StepDown, term, _claimedUntil);
        }
    }
}

/**
 * A member that does not respond may lead, so no other member may receive. A replica that has
 * restarted has lost the order to stop receiving, so the order is sent again.
 */
void GroupFailover::pauseReceivers(const CommitQuorum& quorum, TimePoint now) {
    if (quorum.formerLeader() != nullptr) {
        return;
    }
    const bool silent =
        std::any_of(_links.begin(), _links.end(), [this, &quorum, now](const auto& entry) {
            const MemberView* member = quorum.find(entry.first);
            const TimePoint lastResponse =
                std::max(_phaseSince, entry.second->lastResponseAt().value_or(_phaseSince));
            return member != nullptr && member->role == MemberRole::Unknown &&
                   (entry.second->isRefused() || now - lastResponse > kSilenceTimeout);
        });
    if (!silent) {
        return;
    }
    const Term term = nextTerm();
    for (const auto& [name, member] : _links) {
        const MemberView* view = quorum.find(name);
        const bool paused = view != nullptr && view->role == MemberRole::Paused;
        if (!paused) {
            member->order(ServerCommand::Kind::Pause, term, _claimedUntil);
        }
    }
}

/**
 * @return whether another server has the address and the log of this one, which is therefore no
 * member any more.
 */
bool GroupFailover::isSucceeded(const ListedServer& server, const MemberLink& member) const {
    return isAddressTaken(server) && (server.removed || member.isReplaced());
}

/**
 * @return whether the server has ended for good, so that it neither leads nor receives. Its log may
 * have held commits.
 */
bool GroupFailover::isGone(const ListedServer& server, const MemberLink& member, TimePoint now) {
    const bool longRemoved = server.removed && now - server.removedAt >= kGoneAfter;
    return longRemoved &&
           (member.isRefused() || member.isReplaced() || member.isSilentFor(kGoneSilence, now));
}

/** @return whether another server is listed at the address and has the log of the former one. */
bool GroupFailover::isAddressTaken(const ListedServer& server) const {
    const pooling::ServerAddress& address = server.announcement.address;
    return std::any_of(_servers.begin(), _servers.end(), [&address](const auto& entry) {
        const pooling::ServerAddress& other = entry.second.announcement.address;
        return !entry.second.removed && other.server != address.server &&
               other.host == address.host && other.port == address.port;
    });
}

/**
 * The record names the newest leader, because no server is promoted without the record. While a
 * promotion is announced, its successor may lead or not, so no leader is certain. No leader is
 * certain either after the store was restored from an older copy, because a later announcement may
 * be lost.
 */
ServerName GroupFailover::newestLeader() const {
    if (_record.phase == PromotionPhase::Promoting || isUnconfirmed()) {
        return {};
    }
    if (_record.term > 0) {
        return _record.successor;
    }
    return _former.value_or(ServerName());
}

/**
 * Members that the record names and no list has named yet count as gone no sooner than other
 * members. Departed members whose commits the record bounds are left out, see `isSafe`.
 */
CommitQuorum GroupFailover::viewMembers(TimePoint now) const {
    std::vector<MemberView> members;
    for (const auto& [name, member] : _links) {
        const ListedServer* server = listed(name);
        if (server == nullptr || isSucceeded(*server, *member) ||
            (server->removed && isBounded(name))) {
            continue;
        }
        MemberView view;
        view.server = name;
        if (isGone(*server, *member, now)) {
            view.role = MemberRole::Departed;
        } else if (isCurrent(*member, now)) {
            const ServerReport& report = member->report()->report;
            const bool paused = member->paused() && report.heldTerm > 0 &&
                                report.heldTerm >= member->paused()->report.heldTerm;
            view.role = report.primary ? MemberRole::Leading
                        : paused       ? MemberRole::Paused
                                       : MemberRole::Following;
            view.term = report.term;
            view.received = report.received;
            view.isUpperBound =
                paused || (_securedAt && member->report()->requestedAt >= *_securedAt);
        }
        members.push_back(view);
    }
    const bool mayReturn = !_listedSince || now - *_listedSince < kGoneAfter;
    for (const ServerName& name : _record.members) {
        if (!_servers.contains(name)) {
            const MemberRole role = mayReturn ? MemberRole::Unknown : MemberRole::Departed;
            members.push_back({name, role, 0, {}, false});
        }
    }
    return {std::move(members), newestLeader()};
}

/** @return whether every proof that an earlier primary led has expired since the pauses. */
bool GroupFailover::hasLeasesExpired(TimePoint now) const {
    return _securedAt && now - *_securedAt >= pooling::kLeadershipLease;
}

/**
 * A leader that does not respond may run, and a paused replica that restarts receives from it
 * again. Nodes that have not heard of the promotion pass on such commits while their proofs are
 * valid. So the choice rests on reports that were requested after that time. Commits that are
 * acknowledged to no caller need not be kept.
 * @return whether commits may be passed on that the members' present reports do not show.
 */
bool GroupFailover::mayStillAcknowledge(const CommitQuorum& quorum, TimePoint now) const {
    const auto mayLeadUnseen = [this](const MemberView& member) {
        const auto link = _links.find(member.server);
        const bool isDown = link != _links.end() && link->second->isRefused();
        return member.role == MemberRole::Unknown && !isDown;
    };
    const std::vector<MemberView>& members = quorum.members();
    if (quorum.formerLeader() != nullptr ||
        std::none_of(members.begin(), members.end(), mayLeadUnseen)) {
        return false;
    }
    return !hasLeasesExpired(now) ||
           std::any_of(members.begin(), members.end(), [this](const MemberView& member) {
               return isReplica(member) && _links.at(member.server)->report()->requestedAt <
                                               *_securedAt + pooling::kLeadershipLease;
           });
}

bool GroupFailover::isFresh(const MemberLink& member, TimePoint now) const {
    if (!member.report()) {
        return false;
    }
    const MemberResponse& response = *member.report();
    return now - response.requestedAt <
           kReportValidity + 2 * (response.respondedAt - response.requestedAt);
}

/** @return whether the member's report is still valid and was requested in the present phase. */
bool GroupFailover::isCurrent(const MemberLink& member, TimePoint now) const {
    return isFresh(member, now) && member.report()->requestedAt >= _phaseSince;
}

/**
 * @return each member's name, role, term, position, pause, age of its report and duration of its
 * response, for log lines. A log thus shows which members a choice could not compare.
 */
std::string GroupFailover::describeMembers(const CommitQuorum& quorum, TimePoint now) const {
    const auto inMilliseconds = [](Duration time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    std::ostringstream text;
    for (const auto& [name, link] : _links) {
        text << (text.tellp() > 0 ? ";" : "") << name << ':';
        const MemberView* view = quorum.find(name);
        text << (view == nullptr ? "left" : describe(view->role)) << ',';
        if (_dependencies.placement != nullptr) {
            text << describe(suitabilityOf(name)) << ',';
        }
        if (!link->report()) {
            text << "silent";
            continue;
        }
        const ServerReport& report = link->report()->report;
        text << (report.primary ? "primary" : "replica") << ',' << report.term << ','
             << report.received.term << '.' << report.received.position
             << ",held=" << report.heldTerm
             << ",age_ms=" << inMilliseconds(now - link->report()->respondedAt) << ",took_ms="
             << inMilliseconds(link->report()->respondedAt - link->report()->requestedAt);
    }
    return text.str();
}

}  // namespace coralhoist::failover
