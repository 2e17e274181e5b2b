#include "placement/HomePolicy.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "base/Log.h"

namespace coralhoist::placement {
namespace {

using locality::HomeRegions;
using pooling::PlacedServer;
using pooling::PlacedUnit;
using pooling::PlacementVerdict;

/** Expected duration of a planned change of a primary: its survey, the catching up of the successor
 * and the promotion. */
constexpr Duration kExpectedMoveTime = std::chrono::milliseconds(2500);
/** Maximum time for which statements are deferred for a primary that stays outside the homes. */
constexpr Duration kMoveTimeout = std::chrono::milliseconds(5000);
/** Expected time until a change of primary that is overdue. */
constexpr Duration kMoveOverdue = std::chrono::milliseconds(100);

constexpr const char* kDisjoint = "home_regions_disjoint";
constexpr const char* kNoServer = "no_server_in_home_regions";
constexpr const char* kPrimaryOutside = "primary_outside_home_regions";
constexpr const char* kOutside = "outside_home_regions";

/** @return the names, separated by commas. */
template <typename Name>
std::string join(const std::set<Name>& names) {
    std::string joined;
    for (const Name& name : names) {
        joined += (joined.empty() ? "" : ",") + name.value();
    }
    return joined;
}

/** Adds the home regions of all entries. */
template <typename Name>
void gather(const std::map<Name, HomeRegions>& bonds, std::set<RegionName>& regions) {
    for (const auto& [name, homes] : bonds) {
        regions.insert(homes.regions().begin(), homes.regions().end());
    }
}

template <typename Name>
bool allowedBy(const std::map<Name, HomeRegions>& bonds, const Name& name,
               const locality::RegionMap& regions, const ZoneName& zone) {
    const auto found = bonds.find(name);
    return found == bonds.end() || found->second.allow(regions, zone);
}

template <typename Name>
HomeRegions bondOf(const std::map<Name, HomeRegions>& bonds, const Name& name) {
    const auto found = bonds.find(name);
    return found == bonds.end() ? HomeRegions() : found->second;
}

}  // namespace

HomePolicy::HomePolicy(const Clock& clock, locality::RegionMap regions, ServersOf serversOf)
    : _clock(clock), _regions(std::move(regions)), _serversOf(std::move(serversOf)) {}

bool HomePolicy::apply(const pooling::ServiceCatalog& catalog,
                       const tenancy::TenantDirectory& tenants) {
    std::map<ServiceName, HomeRegions> ofServices;
    std::map<GroupName, HomeRegions> ofGroups;
    for (const auto& [name, entry] : catalog.services) {
        const HomeRegions homes(entry.settings.homeRegions);
        if (homes.binds()) {
            ofServices[name] = homes;
            HomeRegions& common = ofGroups[entry.group];
            common = common.joinedWith(homes);
        }
    }
    std::map<TenantName, HomeRegions> ofTenants;
    for (const auto& [name, tenant] : tenants.all()) {
        if (!tenant.homeRegions.empty()) {
            ofTenants[name] = HomeRegions(tenant.homeRegions);
        }
    }
    if (ofServices == _services && ofTenants == _tenants && ofGroups == _groups) {
        return false;
    }
    _services = std::move(ofServices);
    _tenants = std::move(ofTenants);
    _groups = std::move(ofGroups);
    _outside.clear();
    logInForce(catalog.version);
    return true;
}

void HomePolicy::logInForce(std::uint64_t version) const {
    std::set<RegionName> regions;
    gather(_services, regions);
    gather(_tenants, regions);
    std::set<RegionName> unknown;
    std::set_difference(regions.begin(), regions.end(), _regions.regions().begin(),
                        _regions.regions().end(), std::inserter(unknown, unknown.end()));
    std::set<GroupName> disputed;
    for (const auto& [group, homes] : _groups) {
        if (homes.excludesAll()) {
            disputed.insert(group);
        }
    }
    const bool faulty = !unknown.empty() || !disputed.empty();
    LogEvent("placement", faulty ? LogLevel::Warning : LogLevel::Info, "homes.in_force")
        .field("version", version)
        .field("services", _services.size())
        .field("tenants", _tenants.size())
        .field("regions", join(regions))
        .field("unknown_regions", join(unknown))
        .field("groups_in_dispute", join(disputed));
}

HomeStatistics HomePolicy::statistics() const {
    const auto disputes = std::count_if(_groups.begin(), _groups.end(), [](const auto& group) {
        return group.second.excludesAll();
    });
    const auto ledOutside =
        std::count_if(_groups.begin(), _groups.end(),
                      [this](const auto& group) { return isLedOutside(group.first); });
    return {_services.size(),
            _tenants.size(),
            static_cast<std::size_t>(disputes),
            static_cast<std::size_t>(ledOutside),
            _serversRuledOut,
            _nodesRuledOut};
}

bool HomePolicy::isLedOutside(const GroupName& group) const {
    const pooling::ServerDirectory::Servers& servers = _serversOf(group);
    return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
        const pooling::ListedServer& listed = entry.second;
        return !listed.removed && listed.announcement.role == pooling::ServerRole::Primary &&
               mustHandOver(group, listed.announcement);
    });
}

bool HomePolicy::allows(const PlacedUnit& unit, const ZoneName& zone) const {
    return allowedBy(_services, unit.service, _regions, zone) &&
           allowedBy(_tenants, unit.tenant, _regions, zone);
}

HomeRegions HomePolicy::homesOf(const PlacedUnit& unit) const {
    return bondOf(_services, unit.service).joinedWith(bondOf(_tenants, unit.tenant));
}

PlacementVerdict HomePolicy::mayBegin(const PlacedUnit& unit, const PlacedServer& server) {
    if (!allows(unit, server.zone)) {
        return ruledOut(unit, server);
    }
    if (server.isPrimary && !_outside.empty() &&
        bondOf(_groups, unit.group).allow(_regions, server.zone)) {
        _outside.erase(unit.group);
    }
    return PlacementVerdict::allowed();
}

/** A transaction does not wait for another primary, because it could not go on there. */
PlacementVerdict HomePolicy::mayContinue(const PlacedUnit& unit, const PlacedServer& server) {
    if (allows(unit, server.zone)) {
        return PlacementVerdict::allowed();
    }
    ++_serversRuledOut;
    return PlacementVerdict::forbidden(kOutside);
}

bool HomePolicy::mayForwardTo(const PlacedUnit& unit, const ZoneName& zone) {
    const bool allowed = allows(unit, zone);
    _nodesRuledOut += allowed ? 0 : 1;
    return allowed;
}

/** Logs leave the machine for locations that are not known here. */
bool HomePolicy::mayLogAnswers(const PlacedUnit& unit) {
    return !_services.contains(unit.service) && !_tenants.contains(unit.tenant);
}

/** @return why the server can't be used, and when a server in a home is expected to lead. */
PlacementVerdict HomePolicy::ruledOut(const PlacedUnit& unit, const PlacedServer& server) {
    ++_serversRuledOut;
    const HomeRegions homes = homesOf(unit);
    if (homes.excludesAll()) {
        return PlacementVerdict::forbidden(kDisjoint);
    }
    if (!hasServerIn(unit.group, homes)) {
        return PlacementVerdict::forbidden(kNoServer);
    }
    if (!unit.needsPrimary || !server.isPrimary) {
        return PlacementVerdict::forbidden(kOutside);
    }
    const std::optional<Duration> expectedIn = moveExpectedIn(unit, server, homes);
    return expectedIn ? PlacementVerdict::deferred(*expectedIn, kPrimaryOutside)
                      : PlacementVerdict::forbidden(kPrimaryOutside);
}

/**
 * @return the expected time until the primary is where the unit may go; none if that is not
 * expected.
 */
std::optional<Duration> HomePolicy::moveExpectedIn(const PlacedUnit& unit,
                                                   const PlacedServer& primary,
                                                   const HomeRegions& homes) {
    const HomeRegions ofGroup = bondOf(_groups, unit.group);
    const bool moves = ofGroup.binds() && !ofGroup.allow(_regions, primary.zone) &&
                       hasServerIn(unit.group, ofGroup.joinedWith(homes));
    if (!moves) {
        return std::nullopt;
    }
    const TimePoint now = _clock.now();
    OutsidePrimary& outside =
        _outside.try_emplace(unit.group, OutsidePrimary{primary.server, now}).first->second;
    if (outside.server != primary.server) {
        outside = {primary.server, now};
    }
    const Duration waited = now - outside.since;
    return waited > kMoveTimeout
               ? std::nullopt
               : std::optional<Duration>(std::max(kMoveOverdue, kExpectedMoveTime - waited));
}

bool HomePolicy::hasServerIn(const GroupName& group, const HomeRegions& homes) const {
    const pooling::ServerDirectory::Servers& servers = _serversOf(group);
    return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
        const pooling::ListedServer& listed = entry.second;
        return !listed.removed && !listed.announcement.draining &&
               homes.allow(_regions, listed.announcement.zone);
    });
}

failover::LeadSuitability HomePolicy::suitabilityOf(
    const GroupName& group, const pooling::ServerAnnouncement& server) const {
    return mustHandOver(group, server) ? failover::LeadSuitability::LastResort
                                       : failover::LeadSuitability::Preferred;
}

/** Services of one group whose homes have no region in common prefer no region over another. */
bool HomePolicy::mustHandOver(const GroupName& group,
                              const pooling::ServerAnnouncement& server) const {
    const auto found = _groups.find(group);
    return found != _groups.end() && !found->second.excludesAll() &&
           !found->second.allow(_regions, server.zone);
}

}  // namespace coralhoist::placement
