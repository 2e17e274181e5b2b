#include <CppUTest/TestHarness.h>

#include "locality/RegionMap.h"

namespace coralhoist::locality {
namespace {

TEST_GROUP(RegionMap) {
    const RegionMap regions{{{ZoneName("north-1"), RegionName("north")},
                             {ZoneName("north-2"), RegionName("north")},
                             {ZoneName("south-1"), RegionName("south")}}};
};

TEST(RegionMap, TellsTheRegionOfAZone) {
    STRCMP_EQUAL("north", regions.regionOf(ZoneName("north-2")).value().c_str());
    STRCMP_EQUAL("", regions.regionOf(ZoneName("elsewhere")).value().c_str());
    CHECK_TRUE(regions.hasSeveralRegions());
    CHECK_FALSE(RegionMap().hasSeveralRegions());
}

TEST(RegionMap, AnUnknownZoneSharesARegionWithItselfOnly) {
    CHECK_TRUE(regions.areInOneRegion(ZoneName("north-1"), ZoneName("north-2")));
    CHECK_FALSE(regions.areInOneRegion(ZoneName("north-1"), ZoneName("south-1")));
    CHECK_FALSE(regions.areInOneRegion(ZoneName("north-1"), ZoneName("elsewhere")));
    CHECK_FALSE(regions.areInOneRegion(ZoneName("nowhere"), ZoneName("elsewhere")));
    CHECK_TRUE(regions.areInOneRegion(ZoneName("elsewhere"), ZoneName("elsewhere")));
}

}  // namespace
}  // namespace coralhoist::locality
