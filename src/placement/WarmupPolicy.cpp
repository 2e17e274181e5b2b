#include "placement/WarmupPolicy.h"

#include <algorithm>

#include "base/Log.h"

namespace coralhoist::placement {
namespace {

using pooling::PlacementVerdict;

constexpr const char* kReason = "cold_server";
/** One unit for BEGIN and one for the next statement. */
constexpr std::uint32_t kUnitsToBeginTransaction = 2;
/** Statements of open transactions go first, because the resources that these transactions hold
 * stay occupied while their statements wait. */
constexpr std::uint32_t kFirstRank = 0;
/** Minimum interval between two reviews of the verdicts. */
constexpr Duration kShortestReview = std::chrono::milliseconds(5);

constexpr Duration kWithoutUnitLogEvery = std::chrono::seconds(1);

/** A primary that stays cold for less than this is not replaced, because writes wait during the
 * move. */
constexpr Duration kWorthMoving = std::chrono::seconds(2);

}  // namespace

PlacementVerdict WarmupPolicy::verdictOf(const pooling::PlacedUnit& unit,
                                         const pooling::PlacedServer& server,
                                         const warmup::UnitDemand& demand, TimePoint now) {
    const warmup::UnitAvailability availability = _units.look(unit.group, server.server, demand);
    if (availability.isAvailable) {
        return PlacementVerdict::allowed();
    }
    ++_statistics.deferred;
    _reviewAt = std::min(_reviewAt, now + std::max(availability.expectedIn, kShortestReview));
    return PlacementVerdict::deferred(availability.expectedIn, kReason);
}

PlacementVerdict WarmupPolicy::mayBegin(const pooling::PlacedUnit& unit,
                                        const pooling::PlacedServer& server) {
    const TimePoint now = _clock.now();
    if (!_servers.isCold(unit.group, server.server, now)) {
        return PlacementVerdict::allowed();
    }
    const bool othersRead = _servers.hasWarm(unit.group, now) ||
                            (server.isPrimary && _servers.servingCount(unit.group) > 1);
    if (!unit.needsPrimary && othersRead) {
        ++_statistics.turnedAway;
        return PlacementVerdict::forbidden(kReason);
    }
    const std::uint32_t count = unit.isTransaction ? kUnitsToBeginTransaction : 1;
    return verdictOf(unit, server, {count, unit.rank}, now);
}

PlacementVerdict WarmupPolicy::mayContinue(const pooling::PlacedUnit& unit,
                                           const pooling::PlacedServer& server) {
    const TimePoint now = _clock.now();
    if (!_servers.isCold(unit.group, server.server, now)) {
        return PlacementVerdict::allowed();
    }
    return verdictOf(unit, server, {1, kFirstRank}, now);
}

void WarmupPolicy::noteSent(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server) {
    if (!_servers.isCold(unit.group, server.server, _clock.now())) {
        return;
    }
    ++_statistics.sent;
    if (!_units.take(unit.group, server.server)) {
        ++_statistics.withoutUnit;
        logWithoutUnit(unit, server);
    }
}

/** Counts every statement, but limits the rate of log lines. */
void WarmupPolicy::logWithoutUnit(const pooling::PlacedUnit& unit,
                                  const pooling::PlacedServer& server) {
    const TimePoint now = _clock.now();
    if (now >= _nextWithoutUnitLog) {
        _nextWithoutUnitLog = now + kWithoutUnitLogEvery;
        LogEvent("placement", LogLevel::Warning, "cold_server.no_unit")
            .field("group", unit.group)
            .field("server", server.server)
            .field("total", _statistics.withoutUnit);
    }
}

void WarmupPolicy::noteServerLost(const GroupName& group, const ServerName& server) {
    _servers.noteLost(group, server, _clock.now());
}

void WarmupPolicy::noteServerOpened(const GroupName& group, const ServerName& server) {
    _servers.noteOpened(group, server, _clock.now());
}

failover::LeadSuitability WarmupPolicy::suitabilityOf(
    const GroupName& group, const pooling::ServerAnnouncement& server) const {
    return _servers.isCold(group, server.address.server, _clock.now())
               ? failover::LeadSuitability::Acceptable
               : failover::LeadSuitability::Preferred;
}

bool WarmupPolicy::mustHandOver(const GroupName& group,
                                const pooling::ServerAnnouncement& server) const {
    const TimePoint now = _clock.now();
    return _servers.groups().contains(group) && _servers.hasWarm(group, now) &&
           _servers.announcedUntil(group, server.address.server) > now + kWorthMoving;
}

TimePoint WarmupPolicy::nextReview() const {
    return std::min(_reviewAt, _servers.nextWarm());
}

}  // namespace coralhoist::placement
