/** What the members of a group have told and count as; orders to step down and to pause. */
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

/** Silent members make the others be paused after this time; nothing is concluded from silence. */
constexpr Duration kSilencePatience = milliseconds(350);
/** What a server has told counts for so long, and for twice the time that its answer took. */
constexpr Duration kReportHolds = milliseconds(400);
/**
 * A server counts as gone when its announcement has been removed for the first time and it refuses
 * connections or has been silent for the second. Until then it may come back with its log, lead and
 * receive: servers that crash are back after 3 to 8 s, announcements of living ones after about 2
 * s, and servers with full slots answered after up to 1,141 ms. Two servers that are gone for good
 * at once keep a group without a primary for the first time.
 */
constexpr Duration kGoneAfter = std::chrono::seconds(10);
constexpr Duration kGoneSilence = milliseconds(2000);

}  // namespace

/** Asks every server for its status whose last answer is older than a few steps. */
void GroupFailover::askAll(TimePoint now) {
    for (const auto& [name, server] : _servers) {
        MemberLink& member = link(name);
        if (!member.report() || now - member.report()->askedAt >= kStatusEvery) {
            member.request(ServerCommand::Kind::Status);
        }
    }
}

void GroupFailover::logWaiting(const CommitQuorum& quorum, TimePoint now) {
    if (now - std::max(_waitingLoggedAt, _phaseSince) < kWaitingLogEvery) {
        return;
    }
    _waitingLoggedAt = now;
    LogEvent("failover", LogLevel::Info, "failover.waiting")
        .field("group", _group)
        .field("may_acknowledge", quorum.mayAcknowledge() ? "yes" : "no")
        .field("members", describeMembers(quorum, now));
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
 * announced, its successor may lead or not; then nobody is certain, and neither after a return of
 * the store, which may have lost a later announcement.
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

/** Members that the record names and no list has named yet count as gone no sooner than others. */
CommitQuorum GroupFailover::viewMembers(TimePoint now) const {
    std::vector<MemberView> members;
    for (const auto& [name, member] : _links) {
        const ListedServer* server = listed(name);
        if (server == nullptr || isGone(*server, *member, now)) {
            continue;
        }
        MemberView view;
        view.server = name;
        if (isCurrent(*member, now)) {
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
    if (_listedSince && now - *_listedSince < kGoneAfter) {
        for (const ServerName& name : _record.members) {
            if (!_servers.contains(name)) {
                members.push_back({name, MemberRole::Unknown, 0, {}, false});
            }
        }
    }
    return {std::move(members), newestLeader()};
}

bool GroupFailover::isFresh(const MemberLink& member, TimePoint now) const {
    if (!member.report()) {
        return false;
    }
    const MemberAnswer& answer = *member.report();
    return now - answer.askedAt < kReportHolds + 2 * (answer.answeredAt - answer.askedAt);
}

/** @return whether what it has told still counts and was asked in the present phase. */
bool GroupFailover::isCurrent(const MemberLink& member, TimePoint now) const {
    return isFresh(member, now) && member.report()->askedAt >= _phaseSince;
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
             << ",age_ms=" << inMilliseconds(now - link->report()->answeredAt)
             << ",took_ms=" << inMilliseconds(link->report()->answeredAt - link->report()->askedAt);
    }
    return text.str();
}

}  // namespace coralhoist::failover
