#include <CppUTest/TestHarness.h>

#include "locality/HomeRegions.h"

namespace coralhoist::locality {
namespace {

const RegionName kNorth("north");
const RegionName kSouth("south");

}  // namespace

TEST_GROUP(HomeRegions) {
    const RegionMap map{{{ZoneName("north-1"), kNorth}, {ZoneName("south-1"), kSouth}}};
    const HomeRegions unbound{};
    const HomeRegions north{std::vector{kNorth}};
    const HomeRegions south{std::vector{kSouth}};
    const HomeRegions both{std::vector{kNorth, kSouth}};
};

TEST(HomeRegions, WithoutARegionNothingIsBound) {
    CHECK_FALSE(unbound.binds());
    CHECK_TRUE(unbound == HomeRegions(std::vector<RegionName>()));
    CHECK_TRUE(unbound.allow(map, ZoneName("south-1")));
    CHECK_TRUE(unbound.allow(map, ZoneName("elsewhere")));
}

TEST(HomeRegions, OnlyZonesOfAHomeAreAllowed) {
    CHECK_TRUE(north.allow(map, ZoneName("north-1")));
    CHECK_FALSE(north.allow(map, ZoneName("south-1")));
}

TEST(HomeRegions, AZoneThatIsNotKnownIsInNoHome) {
    CHECK_FALSE(north.allow(map, ZoneName("elsewhere")));
    CHECK_FALSE(north.allow(RegionMap(), ZoneName("north-1")));
}

TEST(HomeRegions, TwoBondsLeaveWhatBothAllow) {
    CHECK_TRUE(both.joinedWith(south) == south);
    CHECK_TRUE(unbound.joinedWith(south) == south);
    CHECK_TRUE(south.joinedWith(unbound) == south);
    CHECK_FALSE(unbound.joinedWith(unbound).binds());
}

TEST(HomeRegions, BondsWithoutARegionInCommonAllowNothing) {
    const HomeRegions none = north.joinedWith(south);
    CHECK_TRUE(none.binds());
    CHECK_TRUE(none.excludesAll());
    CHECK_FALSE(none.allow(map, ZoneName("north-1")));
    CHECK_FALSE(none.allow(map, ZoneName("elsewhere")));
    CHECK_TRUE(none.joinedWith(unbound).excludesAll());
}

}  // namespace coralhoist::locality
