/** Keeps units of work out of evacuated zones, and has the primaries there replaced. */
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "base/Time.h"
#include "failover/PrimaryPlacement.h"
#include "locality/EvacuatedZones.h"
#include "pooling/PlacementPolicy.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::placement {

/** Callers' statements that were sent to a zone since its latest evacuation began. */
struct EvacuatedTraffic {
    /** Number of statements that were sent to servers of the zone while it was being evacuated. */
    std::uint64_t sent = 0;
    TimePoint lastSentAt{};
};

/**
 * While a zone is being evacuated, reads go elsewhere if the group has another server outside all
 * evacuated zones. Statements that only a primary in the zone can run are still sent there, and
 * transactions go on. Once the zone is closed, nothing is sent there: statements that only a
 * primary there can run are deferred until its handover, for as long as a handover takes, and are
 * refused at once where none is expected.
 */
class EvacuationPolicy final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** References outlive the policy. */
    EvacuationPolicy(const Clock& clock, const locality::EvacuatedZones& zones)
        : _clock(clock), _zones(zones) {}

    /** Takes the current announcements of a group's servers. */
    void applyServers(const GroupName& group, const pooling::ServerDirectory::Servers& listed);

    pooling::PlacementVerdict mayBegin(const pooling::PlacedUnit& unit,
                                       const pooling::PlacedServer& server) override;
    pooling::PlacementVerdict mayContinue(const pooling::PlacedUnit& unit,
                                          const pooling::PlacedServer& server) override;
    /** Only servers leave the zone: its nodes may go on executing statements. */
    bool isClosed(const pooling::PlacedServer& server) override;
    bool mayForwardTo(const pooling::PlacedUnit& /*unit*/, const ZoneName& /*zone*/) override {
        return true;
    }
    void noteSent(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server) override;

    failover::LeadSuitability suitabilityOf(
        const GroupName& group, const pooling::ServerAnnouncement& server) const override;
    bool mustHandOver(const GroupName& group,
                      const pooling::ServerAnnouncement& server) const override;
    bool mayMovePrimaries() const override { return !_zones.zones().empty(); }

    /** @return the traffic to the zone since its evacuation began. */
    EvacuatedTraffic trafficOf(const ZoneName& zone) const;
    /** Resets the zone's traffic counters, because a new evacuation of it begins. */
    void resetTraffic(const ZoneName& zone) { _traffic.erase(zone); }
    /**
     * @return the number of statements of groups with servers in evacuated zones that were sent to
     * servers elsewhere.
     */
    std::uint64_t sentElsewhere() const { return _sentElsewhere; }

private:
    /** The servers of a group that may take work. */
    struct GroupServers {
        std::map<ServerName, ZoneName> zones;
        /** When a server that had not been listed before last appeared. */
        TimePoint joinedAt{};
    };

    bool hasServerOutside(const GroupName& group) const;
    bool hasServerInside(const GroupName& group) const;
    pooling::PlacementVerdict waitForHandover(const GroupName& group, const ZoneName& zone) const;

    const Clock& _clock;
    const locality::EvacuatedZones& _zones;
    std::map<GroupName, GroupServers> _groups;
    std::map<ZoneName, EvacuatedTraffic> _traffic;
    std::uint64_t _sentElsewhere = 0;
};

}  // namespace coralhoist::placement
