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

/** Statistics of the policy for operators. */
struct HomeStatistics {
    std::size_t services = 0; /**< Services with homes. */
    std::size_t tenants = 0;  /**< Tenants with homes. */
    /** Groups whose services have homes, but none in common. */
    std::size_t groupsInDispute = 0;
    /** Groups with an announced primary outside the homes of their services. */
    std::size_t groupsLedOutside = 0;
    /** How often a server, and another node, was ruled out for a unit with homes. */
    std::uint64_t serversRuledOut = 0;
    std::uint64_t nodesRuledOut = 0;
};

/**
 * Where a service and a tenant both have homes, both sets apply. The node that a caller is
 * connected to processes the caller's statements whatever its own region; any other node must be in
 * a home, even if the caller is near it: the caller's region is not known, as connections may be
 * passed on between zones.
 *
 * A group's primary must be in a home that all its services with homes have in common. While the
 * primary is elsewhere and a server could take over, statements that need the primary are deferred
 * for as long as a planned change takes; after that they are refused at once.
 */
class HomePolicy final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** Returns the announced servers of a group. */
    using ServersOf = std::function<const pooling::ServerDirectory::Servers&(const GroupName&)>;

    /** @param clock outlives the policy. */
    HomePolicy(const Clock& clock, locality::RegionMap regions, ServersOf serversOf);

    /**
     * Takes the homes from one version of the settings; must be called before anything else acts on
     * that version.
     * @return whether any homes have changed.
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
    /** A primary that was found outside the homes of its group. */
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
    /** Only services and tenants that have homes. */
    std::map<ServiceName, locality::HomeRegions> _services;
    std::map<TenantName, locality::HomeRegions> _tenants;
    /** The homes that all services with homes of a group have in common. */
    std::map<GroupName, locality::HomeRegions> _groups;
    std::map<GroupName, OutsidePrimary> _outside;
    std::uint64_t _serversRuledOut = 0;
    std::uint64_t _nodesRuledOut = 0;
};

}  // namespace coralhoist::placement
