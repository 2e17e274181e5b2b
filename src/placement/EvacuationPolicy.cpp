#include "placement/EvacuationPolicy.h"

#include <algorithm>

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using locality::ZoneUse;
using pooling::PlacementVerdict;

constexpr const char* kReason = "zone_evacuated";
/** Upper bound of a planned handover, counted from when one could begin: claiming it, surveying the
 * replicas, catching up and requesting the promotion. */
constexpr Duration kHandover = std::chrono::milliseconds(2000);

}  // namespace

void EvacuationPolicy::applyServers(const GroupName& group,
                                    const pooling::ServerDirectory::Servers& listed) {
    GroupServers& known = _groups[group];
    std::map<ServerName, ZoneName> zones;
    for (const auto& [name, server] : listed) {
        if (!server.removed && !server.superseded && !server.announcement.draining) {
            zones.emplace(name, server.announcement.zone);
        }
    }
    const bool joined = std::any_of(zones.begin(), zones.end(), [&known](const auto& server) {
        return !known.zones.contains(server.first);
    });
    if (joined) {
        known.joinedAt = _clock.now();
    }
    known.zones = std::move(zones);
}

bool EvacuationPolicy::hasServerOutside(const GroupName& group) const {
    const auto found = _groups.find(group);
    return found != _groups.end() &&
           std::any_of(found->second.zones.begin(), found->second.zones.end(),
                       [this](const auto& server) { return !_zones.isEvacuated(server.second); });
}

bool EvacuationPolicy::hasServerInside(const GroupName& group) const {
    const auto found = _groups.find(group);
    return found != _groups.end() &&
           std::any_of(found->second.zones.begin(), found->second.zones.end(),
                       [this](const auto& server) { return _zones.isEvacuated(server.second); });
}

PlacementVerdict EvacuationPolicy::mayBegin(const pooling::PlacedUnit& unit,
                                            const pooling::PlacedServer& server) {
    switch (_zones.useOf(server.zone, _clock.now())) {
        case ZoneUse::Free:
            return PlacementVerdict::allowed();
        case ZoneUse::Leaving:
            return unit.needsPrimary || !hasServerOutside(unit.group)
                       ? PlacementVerdict::allowed()
                       : PlacementVerdict::forbidden(kReason);
        case ZoneUse::Closed:
            break;
    }
    return unit.needsPrimary && server.isPrimary ? waitForHandover(unit.group, server.zone)
                                                 : PlacementVerdict::forbidden(kReason);
}

PlacementVerdict EvacuationPolicy::waitForHandover(const GroupName& group,
                                                   const ZoneName& zone) const {
    if (!hasServerOutside(group)) {
        return PlacementVerdict::forbidden(kReason);
    }
    const TimePoint couldBegin =
        std::max(_zones.zones().at(zone).learnedAt, _groups.at(group).joinedAt);
    const Duration left = couldBegin + kHandover - _clock.now();
    return left > Duration(0) ? PlacementVerdict::deferred(left, kReason)
                              : PlacementVerdict::forbidden(kReason);
}

/** A transaction that can still end in time may go on: only the closing of the zone ends it. */
PlacementVerdict EvacuationPolicy::mayContinue(const pooling::PlacedUnit& /*unit*/,
                                               const pooling::PlacedServer& server) {
    return isClosed(server) ? PlacementVerdict::forbidden(kReason) : PlacementVerdict::allowed();
}

bool EvacuationPolicy::isClosed(const pooling::PlacedServer& server) {
    return _zones.useOf(server.zone, _clock.now()) == ZoneUse::Closed;
}

void EvacuationPolicy::noteSent(const pooling::PlacedUnit& unit,
                                const pooling::PlacedServer& server) {
    if (_zones.zones().empty()) {
        return;
    }
    if (_zones.isEvacuated(server.zone)) {
        EvacuatedTraffic& traffic = _traffic[server.zone];
        ++traffic.sent;
        traffic.lastSentAt = _clock.now();
    } else if (hasServerInside(unit.group)) {
        ++_sentElsewhere;
    }
}

LeadSuitability EvacuationPolicy::suitabilityOf(const GroupName& /*group*/,
                                                const pooling::ServerAnnouncement& server) const {
    return _zones.isEvacuated(server.zone) ? LeadSuitability::LastResort
                                           : LeadSuitability::Preferred;
}

bool EvacuationPolicy::mustHandOver(const GroupName& /*group*/,
                                    const pooling::ServerAnnouncement& server) const {
    return _zones.isEvacuated(server.zone);
}

EvacuatedTraffic EvacuationPolicy::trafficOf(const ZoneName& zone) const {
    const auto found = _traffic.find(zone);
    return found == _traffic.end() ? EvacuatedTraffic{} : found->second;
}

}  // namespace coralhoist::placement
