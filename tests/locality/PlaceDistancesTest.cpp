#include <CppUTest/TestHarness.h>

#include "locality/PlaceDistances.h"

namespace coralhoist::locality {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PlaceDistances) {
    const RegionMap regions{{{ZoneName("north-1"), RegionName("north")},
                             {ZoneName("north-2"), RegionName("north")},
                             {ZoneName("south-1"), RegionName("south")},
                             {ZoneName("south-2"), RegionName("south")},
                             {ZoneName("west-1"), RegionName("west")}}};
    PlaceDistances distances{regions, ZoneName("north-1")};
    const ZoneName south{"south-1"};
    TimePoint now = TimePoint{} + seconds(1000);

    void note(Duration roundTrip) {
        distances.note(south, roundTrip, now);
    }
    void expect(Duration roundTrip) {
        CHECK_TRUE(distances.to(south, now).time == roundTrip);
    }
};

TEST(PlaceDistances, WithoutAMeasurementTheRegionsDetermineTheRoundTrip) {
    CHECK_TRUE(distances.to(ZoneName("north-2"), now).time == Duration(0));
    CHECK_TRUE(distances.to(ZoneName("unknown"), now).time == Duration(0));
    CHECK_TRUE(distances.to(south, now).time > Duration(0));
    CHECK_FALSE(distances.to(south, now).isMeasured());
}

TEST(PlaceDistances, AMeasurementHoldsForAllZonesOfItsRegion) {
    note(milliseconds(60));
    now += seconds(2);
    const RoundTrip other = distances.to(ZoneName("south-2"), now);
    CHECK_TRUE(other.time == milliseconds(60));
    CHECK_TRUE(other.age == std::optional<Duration>(seconds(2)));
    CHECK_FALSE(distances.to(ZoneName("west-1"), now).isMeasured());
}

TEST(PlaceDistances, ABurstOrARetransmissionDoesNotRaiseTheRoundTrip) {
    note(milliseconds(60));
    now += seconds(1);
    note(milliseconds(900));
    expect(milliseconds(60));
    now += seconds(5);
    note(milliseconds(70));
    expect(milliseconds(60));
}

TEST(PlaceDistances, ALinkThatStaysSlowRaisesTheRoundTrip) {
    note(milliseconds(60));
    for (int second = 0; second < 12; ++second) {
        now += seconds(1);
        note(milliseconds(300));
    }
    expect(milliseconds(300));
}

TEST(PlaceDistances, AfterAPauseOnlyTheNewMeasurementCounts) {
    note(milliseconds(20));
    now += seconds(30);
    note(milliseconds(80));
    now += seconds(6);
    expect(milliseconds(80));
}

TEST(PlaceDistances, AnOldMeasurementIsForgotten) {
    note(milliseconds(200));
    now += seconds(61);
    CHECK_FALSE(distances.to(south, now).isMeasured());
    CHECK_TRUE(distances.to(south, now).time < milliseconds(200));
}

TEST(PlaceDistances, ZonesOfTheOwnRegionAreNotMeasured) {
    distances.note(ZoneName("north-2"), milliseconds(9), now);
    distances.note(ZoneName("unknown"), milliseconds(9), now);
    CHECK_TRUE(distances.to(ZoneName("north-2"), now).time == Duration(0));
    CHECK_FALSE(distances.to(ZoneName("unknown"), now).isMeasured());
}

}  // namespace
}  // namespace coralhoist::locality
