#include <CppUTest/TestHarness.h>

#include "locality/RegionTraffic.h"

namespace coralhoist::locality {
namespace {

TEST_GROUP(RegionTraffic) {
    const RegionMap regions{{{ZoneName("north-1"), RegionName("north")},
                             {ZoneName("north-2"), RegionName("north")},
                             {ZoneName("south-1"), RegionName("south")}}};
    RegionTraffic traffic{regions, ZoneName("north-1")};
};

TEST(RegionTraffic, OnlyKnownZonesOfOtherRegionsAreElsewhere) {
    CHECK_TRUE(traffic.leavesRegion(ZoneName("south-1")));
    CHECK_FALSE(traffic.leavesRegion(ZoneName("north-2")));
    CHECK_FALSE(traffic.leavesRegion(ZoneName("unknown")));
    CHECK_FALSE(traffic.leavesRegion(ZoneName("")));
}

TEST(RegionTraffic, CountsByPurposeAndDirection) {
    traffic.add(TrafficPurpose::Feeds, TrafficDirection::Received, 100);
    traffic.add(TrafficPurpose::Feeds, TrafficDirection::Received, 20);
    traffic.add(TrafficPurpose::Units, TrafficDirection::Sent, 3);
    UNSIGNED_LONGS_EQUAL(120, traffic.bytes(TrafficPurpose::Feeds, TrafficDirection::Received));
    UNSIGNED_LONGS_EQUAL(0, traffic.bytes(TrafficPurpose::Feeds, TrafficDirection::Sent));
    UNSIGNED_LONGS_EQUAL(3, traffic.bytes(TrafficPurpose::Units, TrafficDirection::Sent));
    UNSIGNED_LONGS_EQUAL(123, traffic.total());
}

}  // namespace
}  // namespace coralhoist::locality
