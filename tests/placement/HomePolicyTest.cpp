#include <CppUTest/TestHarness.h>

#include "placement/HomePolicy.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using pooling::PlacedServer;
using pooling::PlacedUnit;
using pooling::PlacementVerdict;
using pooling::ServerDirectory;
using std::chrono::milliseconds;

const RegionName kNorth("north");
const RegionName kSouth("south");
const RegionName kWest("west");
const ZoneName kNorthZone("north-1");
const ZoneName kSouthZone("south-1");
const TenantName kNobody;

}  // namespace

TEST_GROUP(HomePolicy) {
    testing::ManualClock clock;
    ServerDirectory::Servers servers;
    HomePolicy policy{
        clock, locality::RegionMap({{kNorthZone, kNorth}, {kSouthZone, kSouth}}),
        [this](const GroupName&) -> const ServerDirectory::Servers& { return servers; }};
    pooling::ServiceCatalog catalog;
    std::vector<tenancy::Tenant> tenants;
    const GroupName group{"g"};
    const ServiceName service{"bound"};
    const ServiceName free{"free"};
    const TenantName tenant{"t"};
    const ServerName north{"s-north"};
    const ServerName south{"s-south"};

    void setup() override {
        announce(north, kNorthZone);
        announce(south, kSouthZone);
        bind(free, {});
        bind(service, {kSouth});
    }

    pooling::ServerAnnouncement& announce(const ServerName& name, const ZoneName& zone) {
        pooling::ServerAnnouncement& announcement = servers[name].announcement;
        announcement.address.server = name;
        announcement.address.group = group;
        announcement.zone = zone;
        return announcement;
    }
    bool apply() {
        return policy.apply(catalog, tenancy::TenantDirectory(1, tenants, {}));
    }
    bool bind(const ServiceName& name, const std::vector<RegionName>& homes) {
        pooling::CatalogEntry& entry = catalog.services[name];
        entry.group = group;
        entry.settings.homeRegions = homes;
        return apply();
    }
    bool bindTenant(const std::vector<RegionName>& homes) {
        tenants = {tenancy::Tenant{tenant, {}, {}, homes}};
        return apply();
    }
    PlacedUnit unit(const ServiceName& of, bool needsPrimary = false,
                    const TenantName& who = kNobody) const {
        return {group, of, who, 0, needsPrimary};
    }
    PlacementVerdict begin(const PlacedUnit& placed, bool atNorth, bool isPrimary = false) {
        return policy.mayBegin(
            placed, {atNorth ? north : south, atNorth ? kNorthZone : kSouthZone, isPrimary});
    }
    /**
     * @return the verdict on a write of the restricted service while the server in the north leads.
     */
    PlacementVerdict writeInNorth(const TenantName& who = kNobody) {
        return begin(unit(service, true, who), true, true);
    }
};

TEST(HomePolicy, ABoundServiceUsesServersInItsHomesAlone) {
    CHECK_TRUE(begin(unit(service), false).isAllowed());
    STRCMP_EQUAL("outside_home_regions", begin(unit(service), true).reason);
    CHECK_TRUE(begin(unit(service), true).isForbidden());
    CHECK_TRUE(begin(unit(free), true).isAllowed());
}

TEST(HomePolicy, ABoundTenantUsesServersInItsHomesAlone) {
    bindTenant({kNorth});
    CHECK_TRUE(begin(unit(free, false, tenant), true).isAllowed());
    CHECK_TRUE(begin(unit(free, false, tenant), false).isForbidden());
    CHECK_TRUE(begin(unit(free), false).isAllowed());
}

TEST(HomePolicy, ServiceAndTenantBothBind) {
    bind(service, {kNorth, kSouth});
    bindTenant({kSouth, kWest});
    CHECK_TRUE(begin(unit(service, false, tenant), false).isAllowed());
    CHECK_TRUE(begin(unit(service, false, tenant), true).isForbidden());
}

TEST(HomePolicy, HomesWithoutARegionInCommonAreReported) {
    bindTenant({kNorth});
    for (const bool atNorth : {false, true}) {
        const PlacementVerdict verdict = begin(unit(service, true, tenant), atNorth, true);
        CHECK_TRUE(verdict.isForbidden());
        STRCMP_EQUAL("home_regions_disjoint", verdict.reason);
    }
    CHECK_FALSE(policy.mayForwardTo(unit(service, false, tenant), kNorthZone));
    CHECK_FALSE(policy.mayForwardTo(unit(service, false, tenant), kSouthZone));
}

TEST(HomePolicy, AHomeRegionWithoutAServerIsReported) {
    bind(service, {kWest});
    CHECK_TRUE(writeInNorth().isForbidden());
    STRCMP_EQUAL("no_server_in_home_regions", writeInNorth().reason);
}

TEST(HomePolicy, AServerThatLeavesDoesNotCountAsOneInAHome) {
    servers[south].announcement.draining = true;
    STRCMP_EQUAL("no_server_in_home_regions", writeInNorth().reason);
    servers[south].announcement.draining = false;
    servers[south].removed = true;
    STRCMP_EQUAL("no_server_in_home_regions", writeInNorth().reason);
}

TEST(HomePolicy, StatementsForAPrimaryThatWillMoveAreDeferred) {
    const PlacementVerdict verdict = writeInNorth();
    CHECK_TRUE(PlacementVerdict::Kind::Deferred == verdict.kind);
    STRCMP_EQUAL("primary_outside_home_regions", verdict.reason);
    clock.advance(milliseconds(1000));
    CHECK_TRUE(writeInNorth().expectedIn == verdict.expectedIn - milliseconds(1000));
}

TEST(HomePolicy, APrimaryThatDoesNotMoveIsNotWaitedFor) {
    writeInNorth();
    clock.advance(milliseconds(4000));
    CHECK_FALSE(writeInNorth().isForbidden());
    clock.advance(milliseconds(1100));
    CHECK_TRUE(writeInNorth().isForbidden());
    STRCMP_EQUAL("primary_outside_home_regions", writeInNorth().reason);
}

TEST(HomePolicy, AnotherPrimaryOutsideIsWaitedForAnew) {
    const ServerName other("s-north-2");
    announce(other, kNorthZone);
    writeInNorth();
    clock.advance(milliseconds(6000));
    CHECK_FALSE(policy.mayBegin(unit(service, true), {other, kNorthZone, true}).isForbidden());
}

TEST(HomePolicy, APrimaryThatHasBeenHomeSinceIsWaitedForAnew) {
    writeInNorth();
    clock.advance(milliseconds(6000));
    CHECK_TRUE(begin(unit(service, true), false, true).isAllowed());
    CHECK_FALSE(writeInNorth().isForbidden());
}

TEST(HomePolicy, APrimaryDoesNotMoveForATenant) {
    bind(service, {});
    bindTenant({kSouth});
    CHECK_TRUE(writeInNorth(tenant).isForbidden());
    CHECK_FALSE(policy.mustHandOver(group, servers[north].announcement));
}

TEST(HomePolicy, APrimaryThatMovesElsewhereThanTheTenantMayGoIsNotWaitedFor) {
    bind(service, {kSouth, kWest});
    bindTenant({kWest, kNorth});
    CHECK_TRUE(writeInNorth(tenant).isForbidden());
    CHECK_FALSE(writeInNorth().isForbidden());
}

TEST(HomePolicy, ATransactionMustNotGoOnOutside) {
    const PlacementVerdict verdict =
        policy.mayContinue(unit(service, true), {north, kNorthZone, true});
    CHECK_TRUE(verdict.isForbidden());
    CHECK_TRUE(policy.mayContinue(unit(service), {south, kSouthZone, false}).isAllowed());
}

TEST(HomePolicy, StatementsAreForwardedOnlyToNodesInAHome) {
    CHECK_TRUE(policy.mayForwardTo(unit(service), kSouthZone));
    CHECK_FALSE(policy.mayForwardTo(unit(service), kNorthZone));
    CHECK_FALSE(policy.mayForwardTo(unit(service), ZoneName()));
    CHECK_TRUE(policy.mayForwardTo(unit(free), ZoneName()));
    UNSIGNED_LONGS_EQUAL(2, policy.statistics().nodesRuledOut);
}

TEST(HomePolicy, ServerMessagesAboutStatementsWithHomesAreNotLogged) {
    bindTenant({kSouth});
    CHECK_FALSE(policy.mayLogAnswers(unit(service)));
    CHECK_FALSE(policy.mayLogAnswers(unit(free, false, tenant)));
    CHECK_TRUE(policy.mayLogAnswers(unit(free)));
}

TEST(HomePolicy, HomesThatAreTakenAwayBindNoLonger) {
    CHECK_TRUE(bind(service, {}));
    CHECK_FALSE(policy.binds());
    CHECK_TRUE(writeInNorth().isAllowed());
    CHECK_TRUE(policy.mayForwardTo(unit(service), kNorthZone));
}

TEST(HomePolicy, SettingsThatChangeNoHomesAreNoChange) {
    catalog.version = 7;
    CHECK_FALSE(apply());
    CHECK_TRUE(bind(service, {kNorth}));
}

TEST(HomePolicy, AGroupLeadsFromAHomeOfAllItsServices) {
    bind(free, {kNorth, kSouth});
    CHECK_TRUE(policy.mustHandOver(group, servers[north].announcement));
    CHECK_FALSE(policy.mustHandOver(group, servers[south].announcement));
    CHECK_TRUE(LeadSuitability::LastResort ==
               policy.suitabilityOf(group, servers[north].announcement));
    CHECK_TRUE(LeadSuitability::Preferred ==
               policy.suitabilityOf(group, servers[south].announcement));
    servers[north].announcement.role = pooling::ServerRole::Primary;
    UNSIGNED_LONGS_EQUAL(1, policy.statistics().groupsLedOutside);
}

TEST(HomePolicy, ServicesThatDisagreeMoveNoPrimary) {
    bind(free, {kNorth});
    for (const ServerName& server : {north, south}) {
        CHECK_FALSE(policy.mustHandOver(group, servers[server].announcement));
        CHECK_TRUE(LeadSuitability::Preferred ==
                   policy.suitabilityOf(group, servers[server].announcement));
    }
    CHECK_TRUE(writeInNorth().isForbidden());
    UNSIGNED_LONGS_EQUAL(1, policy.statistics().groupsInDispute);
}

}  // namespace coralhoist::placement
