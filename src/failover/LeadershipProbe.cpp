#include "failover/LeadershipProbe.h"

#include <algorithm>

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;

/** Shortest interval between two queries. */
constexpr Duration kQueryInterval = std::chrono::milliseconds(120);
/** Connections are closed when no query was made for this time. */
constexpr Duration kIdleAfter = std::chrono::seconds(2);
constexpr Duration kStep = std::chrono::milliseconds(20);

/** @return whether a server follows the leader of the term and may receive from it. */
bool follows(const ServerReport& report, Term term) {
    return !report.primary && report.term == term && report.heldTerm <= term;
}

}  // namespace

LeadershipProbe::LeadershipProbe(const Clock& clock, pooling::ServerConnector& connector,
                                 const ReportParser& parser)
    : _clock(clock), _connector(connector), _parser(parser) {}

LeadershipProbe::~LeadershipProbe() = default;

void LeadershipProbe::ask(const pooling::ServerDirectory::Servers& servers, TimePoint now) {
    if (now - _queriedAt < kQueryInterval) {
        return;
    }
    _queriedAt = now;
    _nextTick = now + kStep;
    std::erase_if(_links, [&servers](const auto& entry) {
        const auto listed = servers.find(entry.first);
        // A removed server proves nothing, because a promoting node may proceed without its
        // response.
        return listed == servers.end() || listed->second.removed;
    });
    for (const auto& [name, listed] : servers) {
        if (listed.removed) {
            continue;
        }
        std::unique_ptr<MemberLink>& link = _links[name];
        if (!link) {
            link = std::make_unique<MemberLink>(listed.announcement.address, _clock, _connector,
                                                _parser);
        }
        link->queryStatus();
    }
}

void LeadershipProbe::onTick(TimePoint now) {
    _nextTick = now + kStep;
    if (now - _queriedAt > kIdleAfter) {
        _links.clear();
        return;
    }
    for (const auto& [name, link] : _links) {
        link->onTick(now);
    }
}

std::optional<TimePoint> LeadershipProbe::nextTick() const {
    return _links.empty() ? std::nullopt : std::optional<TimePoint>(_nextTick);
}

/** @return the response in which the primary reports that it leads; null if there is none. */
const MemberResponse* LeadershipProbe::leaderResponse(const pooling::Primary& primary) const {
    const auto leader = _links.find(primary.server);
    if (leader == _links.end() || !leader->second->report()) {
        return nullptr;
    }
    const MemberResponse& claim = *leader->second->report();
    const bool leads = claim.report.primary && claim.report.term >= primary.term;
    return leads ? &claim : nullptr;
}

std::optional<TimePoint> LeadershipProbe::provenAt(const pooling::Primary& primary) const {
    const MemberResponse* claim = leaderResponse(primary);
    if (claim == nullptr) {
        return std::nullopt;
    }
    TimePoint proven = claim->requestedAt;
    bool hasFollower = false;
    for (const auto& [name, link] : _links) {
        if (name == primary.server || link->refusedSince()) {
            continue;
        }
        if (!link->report() || !follows(link->report()->report, claim->report.term)) {
            return std::nullopt;
        }
        hasFollower = true;
        proven = std::min(proven, link->report()->requestedAt);
    }
    return hasFollower ? std::optional(proven) : std::nullopt;
}

/** @return when the primary was asked, if it has responded that it does not lead. */
std::optional<TimePoint> LeadershipProbe::deniedAt(const pooling::Primary& primary) const {
    const auto leader = _links.find(primary.server);
    const bool denies = leader != _links.end() && leader->second->report() &&
                        !leader->second->report()->report.primary;
    return denies ? std::optional(leader->second->report()->requestedAt) : std::nullopt;
}

std::optional<TimePoint> LeadershipProbe::pausedAt(const pooling::Primary& primary) const {
    const MemberResponse* claim = leaderResponse(primary);
    if (claim == nullptr) {
        return deniedAt(primary);
    }
    std::optional<TimePoint> paused;
    for (const auto& [name, link] : _links) {
        const std::optional<MemberResponse>& response = link->report();
        const bool isPaused =
            response && !response->report.primary && response->report.heldTerm > claim->report.term;
        if (name != primary.server && isPaused) {
            const TimePoint at = std::min(claim->requestedAt, response->requestedAt);
            paused = std::max(paused.value_or(at), at);
        }
    }
    return paused;
}

}  // namespace coralhoist::failover
