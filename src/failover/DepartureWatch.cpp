#include "failover/DepartureWatch.h"

#include <algorithm>

#include "failover/FailoverTiming.h"

namespace coralhoist::failover {
namespace {

/** Interval of queries; each of them takes a slot of its server for a moment. */
constexpr Duration kQueryInterval = std::chrono::milliseconds(250);
/**
 * A server that refuses connections for this time does not run; a single refusal may be a reset
 * connection.
 */
constexpr Duration kDownTime = std::chrono::milliseconds(1000);

}  // namespace

DepartureWatch::DepartureWatch(const Clock& clock, pooling::ServerConnector& connector,
                               const ReportParser& parser)
    : _clock(clock), _connector(connector), _parser(parser) {}

DepartureWatch::~DepartureWatch() = default;

void DepartureWatch::watch(const std::vector<DepartingServer>& servers, const GroupLeader& leader) {
    if (_leader && (_leader->address != leader.address || _leader->term != leader.term)) {
        stop();
    }
    _leader = leader;
    std::erase_if(_departures, [&servers](const auto& entry) {
        return std::none_of(servers.begin(), servers.end(),
                            [&entry](const auto& server) { return server.name == entry.first; });
    });
    for (const DepartingServer& server : servers) {
        Departure& departure = _departures[server.name];
        departure.unlistedSince = server.unlistedSince;
        if (!departure.link && server.address) {
            departure.link =
                std::make_unique<MemberLink>(*server.address, _clock, _connector, _parser);
        }
    }
}

void DepartureWatch::stop() {
    _departures.clear();
    _leader.reset();
    _leaderLink.reset();
}

/** @return whether the server has certainly ended; one that is still listed may start again. */
bool DepartureWatch::hasEnded(const Departure& departure, TimePoint now) {
    if (!departure.unlistedSince) {
        return false;
    }
    const bool isGoneByTime = now - *departure.unlistedSince >= kGoneAfter;
    if (!departure.link) {
        return isGoneByTime;
    }
    const std::optional<TimePoint> refusedSince = departure.link->refusedSince();
    const bool isDown = refusedSince && now - *refusedSince >= kDownTime;
    return isDown || departure.link->isReplaced() ||
           (isGoneByTime && departure.link->isSilentFor(kGoneSilence, now));
}

void DepartureWatch::onTick(TimePoint now) {
    const bool isDue = now >= _nextQuery;
    if (isDue) {
        _nextQuery = now + kQueryInterval;
    }
    bool awaitsBound = false;
    for (auto& [name, departure] : _departures) {
        if (departure.link) {
            departure.link->onTick(now);
            if (isDue) {
                departure.link->queryStatus();
            }
        }
        if (!hasEnded(departure, now)) {
            departure.endedAt.reset();
            departure.bound.reset();
            continue;
        }
        departure.endedAt = departure.endedAt.value_or(now);
        awaitsBound |= !departure.bound;
    }
    if (_leaderLink) {
        _leaderLink->onTick(now);
    }
    if (awaitsBound && isDue) {
        queryLeader();
    }
    takeLeaderReport();
}

void DepartureWatch::queryLeader() {
    if (!_leaderLink) {
        _leaderLink = std::make_unique<MemberLink>(_leader->address, _clock, _connector, _parser);
    }
    _leaderLink->queryStatus();
}

void DepartureWatch::takeLeaderReport() {
    if (!_leaderLink || !_leaderLink->report()) {
        return;
    }
    const MemberResponse& response = *_leaderLink->report();
    if (!response.report.primary || response.report.term < _leader->term) {
        return;
    }
    for (auto& [name, departure] : _departures) {
        if (departure.endedAt && !departure.bound && response.requestedAt >= *departure.endedAt) {
            departure.bound = response.report.received;
        }
    }
}

std::optional<OpTime> DepartureWatch::boundOf(const ServerName& server) const {
    const auto found = _departures.find(server);
    return found == _departures.end() ? std::nullopt : found->second.bound;
}

}  // namespace coralhoist::failover
