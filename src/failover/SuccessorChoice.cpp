/** Keeping former primaries from committing, and the choice of a successor. */
#include <algorithm>
#include <sstream>

#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;
using pooling::ServerCommand;
using std::chrono::milliseconds;

/** A former primary that says nothing for so long counts as out of reach. */
constexpr Duration kFormerPatience = milliseconds(350);
/** A server whose announcement is gone need not be heard when it is silent for so long. */
constexpr Duration kRemovedPatience = milliseconds(700);
/** ... and its announcement has been gone for so long, unless it refuses connections: it may only
 * be cut off from the store and from this node, and still receive. */
constexpr Duration kRemovedFor = milliseconds(4000);
/** Grace in which a replica may catch up with a former primary that has stepped down. */
constexpr Duration kCatchUpGrace = milliseconds(250);
/** What a server has told counts for so long. */
constexpr Duration kReportHolds = milliseconds(400);
/** Records by which a successor may still be behind a primary that leaves. */
constexpr LogPosition kNearlyCaughtUp = 2;
/** A former primary is promoted again when no other server has all commits for so long. */
constexpr Duration kRepromoteAfter = milliseconds(600);

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
    if (!report.primary || report.term < _record.term) {
        return false;
    }
    _successor = _record.successor;
    _successorTerm = report.term;
    _successorPosition = _record.base;
    return true;
}

/** Everyone who still leads in an older term is told to step down. */
void GroupFailover::orderFormers() {
    const Term term = nextTerm();
    for (const auto& [name, member] : _links) {
        const bool suspected = _former && name == *_former && !member->report();
        const bool leads = member->report() && member->report()->report.primary;
        const bool stepped = member->steppedDown() && !member->steppedDown()->report.primary;
        if ((leads || suspected) && !stepped) {
            _former = name;
            member->request(ServerCommand::Kind::StepDown, term);
        }
    }
}

/** @return whether no former primary can acknowledge a commit any more. */
bool GroupFailover::isFormerHarmless(TimePoint now) {
    const auto former = _former ? _links.find(*_former) : _links.end();
    if (former != _links.end() && former->second->report()) {
        const MemberAnswer& answer = *former->second->report();
        if (!answer.report.primary && answer.askedAt >= _phaseSince) {
            _formerPosition = answer.report.received;
            return true;
        }
    }
    const bool outOfReach =
        former == _links.end() || former->second->isRefused() ||
        now - std::max(_phaseSince, former->second->heardAt().value_or(_phaseSince)) >
            kFormerPatience;
    return outOfReach && now - _phaseSince > milliseconds(0) && pauseReceivers(now);
}

/** @return whether every server that may receive from the former primary has stopped to. */
bool GroupFailover::pauseReceivers(TimePoint now) {
    const Term term = nextTerm();
    bool all = true;
    for (const auto& [name, member] : _links) {
        if (_former && name == *_former) {
            continue;
        }
        if (member->paused()) {
            continue;
        }
        member->request(ServerCommand::Kind::Pause, term);
        all = all && !mustBeHeard(name, *member, now);
    }
    return all;
}

bool GroupFailover::mustBeHeard(const ServerName& name, const MemberLink& member,
                                TimePoint now) const {
    const ListedServer* server = listed(name);
    if (server == nullptr) {
        return false;
    }
    if (!server->removed) {
        return true;
    }
    const bool longGone = now - server->removedAt >= kRemovedFor;
    return !member.isRefused() && !(longGone && member.isSilentFor(kRemovedPatience, now));
}

bool GroupFailover::heardAllSince(TimePoint since, TimePoint now) {
    for (const auto& [name, member] : _links) {
        if (_former && name == *_former) {
            continue;
        }
        const bool heard = member->report() && member->report()->askedAt >= since;
        if (!heard && mustBeHeard(name, *member, now)) {
            return false;
        }
    }
    return true;
}

std::optional<ServerName> GroupFailover::chooseSuccessor(TimePoint now) {
    std::optional<ServerName> best = mostAdvanced(now);
    const OpTime position = best ? _links.at(*best)->report()->report.received : OpTime{};
    if (best && _formerPosition && position >= *_formerPosition) {
        return best;
    }
    if (_formerPosition && now - *_securedAt < kCatchUpGrace) {
        return std::nullopt;
    }
    // What was acknowledged in this term is on a receiver: the most advanced of all has it.
    const bool complete = !_formerPosition || heardAllSince(*_securedAt, now);
    if (best && complete && holdsEarlierTerms(position)) {
        return best;
    }
    const bool formerOnly = _formerPosition && now - *_securedAt > kRepromoteAfter &&
                            isFresh(*_links.at(*_former), now);
    return formerOnly ? _former : std::nullopt;
}

/** @return whether a log up to there has all commits acknowledged before the current term. */
bool GroupFailover::holdsEarlierTerms(const OpTime& position) const {
    // A successor that is long gone took its log with it; nothing better will come.
    const bool baseIsGone = !_servers.contains(_record.successor);
    return baseIsGone || position >= _record.base;
}

bool GroupFailover::isFresh(const MemberLink& member, TimePoint now) const {
    return member.report() && now - member.report()->askedAt < kReportHolds;
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

/** @return the running server with the longest log; of equals, one that stays. */
std::optional<ServerName> GroupFailover::mostAdvanced(TimePoint now) const {
    std::optional<ServerName> best;
    OpTime bestPosition;
    bool bestStays = false;
    for (const auto& [name, member] : _links) {
        const ListedServer* server = listed(name);
        const auto stopped = _notRunning.find(name);
        const bool excluded = stopped != _notRunning.end() && now < stopped->second;
        const bool former = _former && name == *_former;
        if (!isFresh(*member, now) || server == nullptr || excluded || former) {
            continue;
        }
        const OpTime position = member->report()->report.received;
        const bool stays = !server->removed && !server->announcement.draining;
        const bool announced =
            _record.phase == PromotionPhase::Promoting && name == _record.successor;
        const bool better = !best || position > bestPosition ||
                            (position == bestPosition && (announced || (stays && !bestStays)));
        if (better) {
            best = name;
            bestPosition = position;
            bestStays = stays;
        }
    }
    return best;
}

/**
 * @return what each member has told, for logs: name, role, term, position, pause, the age of the
 * answer and how long it took, so that a log shows whom a choice could not compare.
 */
std::string GroupFailover::describeMembers(TimePoint now) const {
    const auto inMilliseconds = [](Duration time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    std::ostringstream text;
    for (const auto& [name, link] : _links) {
        text << (text.tellp() > 0 ? ";" : "") << name << ':';
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
