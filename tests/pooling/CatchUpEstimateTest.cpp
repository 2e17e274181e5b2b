#include <CppUTest/TestHarness.h>

#include "pooling/CatchUpEstimate.h"
#include "pooling/FreshnessFloors.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(CatchUpEstimate) {
    CatchUpEstimate estimate;
    ProbePauses pauses;
    TimePoint now{seconds(100)};

    static OpTime at(LogPosition position) {
        return {1, position};
    }

    /** Observes positions every 250 ms; the lag changes by `step` each time. */
    void follow(int times, Duration firstLag, Duration step) {
        for (int index = 0; index < times; ++index) {
            now += milliseconds(250);
            estimate.observe(at(100 + static_cast<LogPosition>(index)), firstLag + index * step,
                             now);
        }
    }

    std::optional<Duration> until(LogPosition position, Duration age) {
        return estimate.timeUntil(at(position), now - age, now);
    }
};

TEST(CatchUpEstimate, AReplicaThatReportedNoPositionIsAsked) {
    CHECK(until(5, milliseconds(0)) == Duration(0));
}

TEST(CatchUpEstimate, AReportedPositionIsAvailableAtOnce) {
    estimate.observe(at(100), seconds(9), now);
    CHECK(until(100, milliseconds(0)) == Duration(0));
}

TEST(CatchUpEstimate, AReplicaThatKeepsUpReachesAPositionOneLagAfterTheLog) {
    follow(4, milliseconds(150), Duration(0));
    CHECK(until(200, milliseconds(50)) == milliseconds(100));
    now += milliseconds(200);
    CHECK(until(200, milliseconds(250)) == Duration(0));
}

TEST(CatchUpEstimate, AReplicaThatCatchesUpReachesAPositionSoonerByItsRate) {
    follow(4, seconds(4), -milliseconds(750));
    CHECK(estimate.rate() > 3.9);
    CHECK(until(900, milliseconds(0)) > milliseconds(400));
    CHECK(until(900, milliseconds(0)) < milliseconds(500));
}

TEST(CatchUpEstimate, AStalledReplicaHasNoEstimate) {
    follow(4, seconds(4), milliseconds(250));
    estimate.refuse(at(800), now, pauses);
    CHECK(until(900, milliseconds(0)) == std::nullopt);
}

TEST(CatchUpEstimate, AStalledReplicaServesPositionsOlderThanItsLag) {
    follow(4, seconds(1), milliseconds(250));
    CHECK(until(900, seconds(2)) == Duration(0));
}

TEST(CatchUpEstimate, AStalledReplicaIsProbedByOneReadAtATime) {
    follow(4, seconds(4), milliseconds(250));
    CHECK(until(900, milliseconds(0)) == Duration(0));
    estimate.ask(at(900), now, now, pauses);
    CHECK(until(900, milliseconds(0)) == std::nullopt);
    CHECK(until(150, milliseconds(0)) == std::nullopt);
    now += pauses.shortest;
    CHECK(until(900, milliseconds(0)) == Duration(0));
}

TEST(CatchUpEstimate, ARefusalOverridesTheEstimate) {
    estimate.observe(at(100), milliseconds(100), now);
    now += milliseconds(200);
    CHECK(until(200, milliseconds(200)) == Duration(0));
    estimate.refuse(at(200), now, pauses);
    CHECK(until(200, milliseconds(200)) == pauses.shortest);
    CHECK(until(199, milliseconds(200)) == Duration(0));
    now += pauses.shortest;
    CHECK(until(200, milliseconds(260)) == Duration(0));
}

TEST(CatchUpEstimate, PausesGrowWhileItRefusesAndEndWithASuccess) {
    estimate.observe(at(100), milliseconds(100), now);
    now += milliseconds(200);
    for (int index = 0; index < 6; ++index) {
        estimate.refuse(at(200), now, pauses);
    }
    CHECK(until(200, seconds(1)) == pauses.longest);
    estimate.succeed();
    estimate.refuse(at(200), now, pauses);
    CHECK(until(200, seconds(1)) == pauses.shortest);
}

TEST(CatchUpEstimate, ACaughtUpReplicaIsAskedAgainAtOnce) {
    follow(4, seconds(4), milliseconds(250));
    for (int index = 0; index < 6; ++index) {
        estimate.refuse(at(900), now, pauses);
    }
    now += milliseconds(10);
    // The response to a commit, a status request or another read reports the position.
    estimate.observe(at(950), Duration(0), now);
    CHECK(until(950, milliseconds(0)) == Duration(0));
    now += milliseconds(10);
    CHECK(until(960, milliseconds(0)) == Duration(0));
}

TEST(CatchUpEstimate, APositionThatWasJustMissingIsNotExpectedAtOnce) {
    estimate.observe(at(100), milliseconds(50), now);
    CHECK(until(101, milliseconds(50)) == milliseconds(10));
}

TEST(CatchUpEstimate, AnOlderPositionThatComesLateChangesNothing) {
    estimate.observe(at(200), Duration(0), now);
    estimate.observe(at(100), seconds(5), now + milliseconds(1));
    CHECK(estimate.position() == at(200));
    CHECK(estimate.lagAt(now) == Duration(0));
}

TEST(CatchUpEstimate, AnOldEstimateIsVerifiedByARead) {
    follow(4, milliseconds(290), Duration(0));
    CHECK(until(900, milliseconds(0)) == milliseconds(290));
    now += milliseconds(300);
    CHECK(until(900, milliseconds(0)) == Duration(0));
}

TEST(CatchUpEstimate, ANewIncarnationIsAskedLikeAnyOther) {
    follow(4, seconds(4), milliseconds(250));
    estimate.refuse(at(900), now, pauses);
    estimate = CatchUpEstimate{};
    CHECK(until(900, milliseconds(0)) == Duration(0));
}

TEST_GROUP(FreshnessFloors) {
    FreshnessFloors floors;
    TimePoint start{seconds(100)};

    void setup() override {
        for (int index = 1; index <= 10; ++index) {
            floors.add(start + index * milliseconds(100),
                       OpTime{1, static_cast<LogPosition>(index * 10)});
        }
    }
};

TEST(FreshnessFloors, ReturnsWhenTheLogReachedAPosition) {
    CHECK(floors.reachedAt(OpTime{1, 35}) == start + milliseconds(400));
    CHECK(floors.reachedAt(OpTime{1, 40}) == start + milliseconds(400));
    CHECK(floors.reachedAt(OpTime{1, 101}) == std::nullopt);
}

TEST(FreshnessFloors, TheLagIsTheTimeSinceTheLogWentBeyond) {
    const TimePoint now = start + seconds(2);
    CHECK(floors.lagOf(OpTime{1, 40}, now) == milliseconds(1500));
    CHECK(floors.lagOf(OpTime{1, 100}, now) == Duration(0));
}

}  // namespace
}  // namespace coralhoist::pooling
