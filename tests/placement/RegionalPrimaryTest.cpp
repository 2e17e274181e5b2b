#include <CppUTest/TestHarness.h>

#include "placement/RegionalPrimary.h"

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;

/** Servers d1 and d2 are in two zones of the north, d3 is in the south. */
TEST_GROUP(RegionalPrimary) {
    const GroupName group{"g"};
    const locality::RegionMap regions{{{ZoneName("north-1"), RegionName("north")},
                                       {ZoneName("north-2"), RegionName("north")},
                                       {ZoneName("south-1"), RegionName("south")}}};
    RegionalPrimary::Servers servers;
    RegionalPrimary placement{
        regions, [this](const GroupName&) -> const RegionalPrimary::Servers& { return servers; }};

    void setup() override {
        list("d1", "north-1");
        list("d2", "north-2");
        list("d3", "south-1");
    }

    void list(const char* name, const char* zone) {
        pooling::ListedServer& server = servers[ServerName(name)];
        server.announcement.address.server = ServerName(name);
        server.announcement.zone = ZoneName(zone);
    }

    LeadSuitability suitabilityOf(const char* name) const {
        return placement.suitabilityOf(group, servers.at(ServerName(name)).announcement);
    }
};

TEST(RegionalPrimary, TheSuccessorIsOneWithAReplicaInItsRegion) {
    CHECK_TRUE(suitabilityOf("d1") == LeadSuitability::Preferred);
    CHECK_TRUE(suitabilityOf("d2") == LeadSuitability::Preferred);
    CHECK_TRUE(suitabilityOf("d3") == LeadSuitability::Acceptable);
}

TEST(RegionalPrimary, AServerThatLeavesIsNoReplicaToRelyOn) {
    servers[ServerName("d2")].announcement.draining = true;
    CHECK_TRUE(suitabilityOf("d1") == LeadSuitability::Acceptable);
    servers[ServerName("d2")].announcement.draining = false;
    servers[ServerName("d2")].removed = true;
    CHECK_TRUE(suitabilityOf("d1") == LeadSuitability::Acceptable);
}

TEST(RegionalPrimary, AllServersSuitAlikeWhereNoneHasOneBeside) {
    servers.erase(ServerName("d2"));
    CHECK_TRUE(suitabilityOf("d1") == suitabilityOf("d3"));
}

TEST(RegionalPrimary, APrimaryThatLeadsIsNotMoved) {
    CHECK_FALSE(placement.mustHandOver(group, servers[ServerName("d3")].announcement));
}

}  // namespace
}  // namespace coralhoist::placement
