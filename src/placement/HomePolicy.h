/** Keeps statements, and the primaries that they need, in the home regions of services and tenants.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/Time.h"
#include "failover/PrimaryPlacement.h"
#include "locality/HomeRegions.h"
#include "pooling/PlacementPolicy.h"
#include "pooling/ServerDirectory.h"
#include "pooling/ServiceCatalog.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::placement {

/** What an operator sees of the policy. */
struct HomeStatistics {
    std::size_t services = 0; /**< Services with homes. */
    std::size_t tenants = 0;  /**< Tenants with homes. */
    /** Groups whose services have homes, but none in common. */
    std::size_t groupsInDispute = 0;
    /** Groups with a primary outside the homes of their services, as announced. */
    std::size_t groupsLedOutside = 0;
    /** Times that a bound unit was kept from a server, and from another node. */
    std::uint64_t serversRuledOut = 0;
    std::uint64_t nodesRuledOut = 0;
};

/**
 * Where a service and a tenant both have homes, both bind. The node that a caller came to sees its
 * statements whatever its region; any other node has to stand in a home, also where the caller is
 * near: which region a caller is in is not known, as connections may be passed on between zones.
 *
 * A group leads from a home that all its bound services have in common. While its primary is
 * elsewhere and a server could take over, what needs the primary is put off for as long as a
 * planned change takes; after that it is refused at once.
 */
class HomePolicy final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** The servers of a group as they are announced. */
    using ServersOf = std::function<const pooling::ServerDirectory::Servers&(const GroupName&)>;

    /** @param clock outlives the policy. */
    HomePolicy(const Clock& clock, locality::RegionMap regions, ServersOf serversOf);

    /**
     * Takes the homes of one version of the settings, before anything else acts on that version.
     * @return whether any have changed.
     */
    bool apply(const pooling::ServiceCatalog& catalog, const tenancy::TenantDirectory& tenants);

    /** @return whether any service or tenant has homes. */
    bool binds() const { return !_services.empty() || !_tenants.empty(); }

    HomeStatistics statistics() const;

    pooling::PlacementVerdict mayBegin(const pooling::PlacedUnit& unit,
                                       const pooling::PlacedServer& server) override;
    pooling::PlacementVerdict mayContinue(const pooling::PlacedUnit& unit,
                                          const pooling::PlacedServer& server) override;
    bool mayForwardTo(const pooling::PlacedUnit& unit, const ZoneName& zone) override;
    bool mayLogAnswers(const pooling::PlacedUnit& unit) override;
    void noteSent(const pooling::PlacedUnit& /*unit*/,
                  const pooling::PlacedServer& /*server*/) override {}

    failover::LeadSuitability suitabilityOf(
        const GroupName& group, const pooling::ServerAnnouncement& server) const override;
    bool mustHandOver(const GroupName& group,
                      const pooling::ServerAnnouncement& server) const override;
    bool mayMovePrimaries() const override { return !_groups.empty(); }

private:
    /** A primary that has been found to stand outside the homes of its group. */
    struct OutsidePrimary {
        ServerName server;
        TimePoint since;
    };

    bool allows(const pooling::PlacedUnit& unit, const ZoneName& zone) const;
    locality::HomeRegions homesOf(const pooling::PlacedUnit& unit) const;
    pooling::PlacementVerdict ruledOut(const pooling::PlacedUnit& unit,
                                       const pooling::PlacedServer& server);
    std::optional<Duration> moveExpectedIn(const pooling::PlacedUnit& unit,
                                           const pooling::PlacedServer& primary,
                                           const locality::HomeRegions& homes);
    bool hasServerIn(const GroupName& group, const locality::HomeRegions& homes) const;
    bool isLedOutside(const GroupName& group) const;
    void logInForce(std::uint64_t version) const;

    const Clock& _clock;
    locality::RegionMap _regions;
    ServersOf _serversOf;
    /** Those that have homes alone. */
    std::map<ServiceName, locality::HomeRegions> _services;
    std::map<TenantName, locality::HomeRegions> _tenants;
    /** What the services of a group that have homes have in common. */
    std::map<GroupName, locality::HomeRegions> _groups;
    std::map<GroupName, OutsidePrimary> _outside;
    std::uint64_t _serversRuledOut = 0;
    std::uint64_t _nodesRuledOut = 0;
};

}  // namespace coralhoist::placement
