#include <CppUTest/TestHarness.h>

#include "locality/BackgroundShare.h"

namespace coralhoist::locality {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kReport = 100;

TEST_GROUP(BackgroundShare) {
    const RegionMap regions{
        {{ZoneName("z"), RegionName("north")}, {ZoneName("y"), RegionName("south")}}};
    RegionTraffic traffic{regions, ZoneName("z")};
    BackgroundShare share{traffic};
    TimePoint now = TimePoint{} + seconds(1000);

    /** @return the bytes that may be sent now, in reports. */
    std::size_t takeAll() {
        std::size_t taken = 0;
        while (taken < 1000000 && share.take(kReport, now)) {
            taken += kReport;
        }
        return taken;
    }
};

TEST(BackgroundShare, ALittleMayAlwaysCross) {
    CHECK_EQUAL(4000, takeAll());
    now += milliseconds(500);
    CHECK_EQUAL(0, takeAll());
    UNSIGNED_LONGS_EQUAL(2, share.keptBack());
    now += milliseconds(500);
    CHECK_EQUAL(4000, takeAll());
}

TEST(BackgroundShare, ItIsAPartOfWhatStatementsTookInTheSecondBefore) {
    takeAll();
    traffic.add(TrafficPurpose::Servers, TrafficDirection::Sent, 30000);
    traffic.add(TrafficPurpose::Units, TrafficDirection::Received, 10000);
    now += seconds(1);
    CHECK_EQUAL(20000, takeAll());
    now += seconds(1);
    CHECK_EQUAL(4000, takeAll());
}

TEST(BackgroundShare, BackgroundTrafficRaisesNoAllowance) {
    takeAll();
    traffic.add(TrafficPurpose::LoadReports, TrafficDirection::Sent, 1000000);
    traffic.add(TrafficPurpose::Feeds, TrafficDirection::Received, 1000000);
    now += seconds(1);
    CHECK_EQUAL(4000, takeAll());
}

TEST(BackgroundShare, WhatStatementsTookLongAgoIsNotSavedUp) {
    takeAll();
    traffic.add(TrafficPurpose::Servers, TrafficDirection::Sent, 1000000);
    now += seconds(60);
    CHECK_EQUAL(4000, takeAll());
}

}  // namespace
}  // namespace coralhoist::locality
