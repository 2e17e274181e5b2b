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

/** What callers' statements did since the zone was evacuated last. */
struct EvacuatedTraffic {
    /** Sent to servers of the zone all the same, while it was being left. */
    std::uint64_t sent = 0;
    TimePoint lastSentAt{};
};

/**
 * While a zone is left, reads go elsewhere where another server of the group stands outside all
 * evacuated zones; what only a primary in the zone can run is still sent there, and transactions go
 * on. Once it is closed, nothing is sent there: what only a primary there can run waits for its
 * handover, for as long as one takes, and is refused at once where there is none to expect.
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
    /** Only servers leave the zone: its nodes may execute. */
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

    /** @return traffic of the zone since its evacuation began. */
    EvacuatedTraffic trafficOf(const ZoneName& zone) const;
    /** The zone is evacuated anew: its traffic is counted from here. */
    void resetTraffic(const ZoneName& zone) { _traffic.erase(zone); }
    /** @return statements that were sent outside, of groups with servers in evacuated zones. */
    std::uint64_t sentElsewhere() const { return _sentElsewhere; }

private:
    /** The servers of a group that may take work. */
    struct GroupServers {
        std::map<ServerName, ZoneName> zones;
        /** When one of them was listed last that had not been. */
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
