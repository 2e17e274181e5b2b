#include <CppUTest/TestHarness.h>

#include "admission/AdmissionPolicy.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::admission {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLook = milliseconds(10);
constexpr Duration kObjective = milliseconds(100);

const StatementClass kReads{ServiceName("reads"), 0};

}  // namespace

TEST_GROUP(AdmissionPolicy) {
    testing::ManualClock clock;
    AdmissionPolicy policy;

    /** @return a late statement with this time left. */
    QueuedStatement late(std::uint64_t session, Duration timeLeft) const {
        return {SessionId(session), kReads, clock.now(), clock.now() + timeLeft, {}};
    }
    QueuedStatement hindered(std::uint64_t session, Duration timeLeft) const {
        return {SessionId(session), kReads, clock.now() + kObjective, clock.now() + timeLeft,
                "no_primary"};
    }
    std::vector<QueuedStatement> manyLate(std::size_t count, Duration timeLeft) const {
        std::vector<QueuedStatement> statements;
        for (std::size_t index = 0; index < count; ++index) {
            statements.push_back(late(index + 1, timeLeft));
        }
        return statements;
    }
    /** Keeps this many statements without a deadline queued for the span; one starts at each
     * review. */
    void watch(Duration span, std::size_t waiting, bool starting = true) {
        for (Duration watched(0); watched < span; watched += kLook) {
            CHECK_TRUE(
                policy.review(clock.now(), manyLate(waiting, std::chrono::hours(1))).empty());
            if (starting) {
                policy.noteStart(kReads, Lane::Late);
            }
            clock.advance(kLook);
        }
    }
    /** Blocks a statement on the missing primary for the span, and then blocks none for a second.
     */
    void losePrimary(Duration span) {
        for (Duration lost(0); lost < span; lost += kLook) {
            policy.review(clock.now(), {hindered(1, std::chrono::hours(1))});
            clock.advance(kLook);
        }
        clock.advance(std::chrono::seconds(1));
        policy.review(clock.now(), {});
    }
};

TEST(AdmissionPolicy, WithoutAnObservationNothingIsRefused) {
    CHECK_TRUE(policy.review(clock.now(), manyLate(500, milliseconds(1))).empty());
}

TEST(AdmissionPolicy, WhatWillStartInTimeWaits) {
    watch(milliseconds(1000), 20);
    CHECK_TRUE(policy.review(clock.now(), manyLate(20, milliseconds(250))).empty());
}

TEST(AdmissionPolicy, WhatWillNotStartInTimeIsRefusedAtOnceWithItsForecast) {
    watch(milliseconds(1000), 100);
    const std::vector<ForecastRefusal> refusals =
        policy.review(clock.now(), manyLate(100, milliseconds(250)));
    CHECK_FALSE(refusals.empty());
    // The statements ahead, of which one starts every 10 ms, stay queued.
    CHECK_TRUE(refusals.front().session > SessionId(25));
    CHECK_TRUE(refusals.front().forecast > milliseconds(250));
    CHECK_TRUE(refusals.front().retryAfter >= refusals.front().forecast);
}

TEST(AdmissionPolicy, AForecastWrongByAFactorOfTwoRefusesNobodyWhoWouldHaveBeenServed) {
    watch(milliseconds(1000), 100);
    // If statements now start twice as fast as observed, 50 of them start within the 250 ms.
    // None of these may be refused.
    const std::vector<ForecastRefusal> refusals =
        policy.review(clock.now(), manyLate(100, milliseconds(250)));
    CHECK_TRUE(refusals.front().session > SessionId(50));
}

TEST(AdmissionPolicy, ALaneThatGetsNothingIsWatchedBeforeAnythingIsInferred) {
    watch(milliseconds(100), 1, false);
    CHECK_TRUE(policy.review(clock.now(), manyLate(1, milliseconds(600))).empty());
    watch(milliseconds(3000), 20, false);
    CHECK_FALSE(policy.review(clock.now(), manyLate(20, milliseconds(600))).empty());
}

TEST(AdmissionPolicy, AnObservationExpires) {
    watch(milliseconds(3000), 20, false);
    clock.advance(std::chrono::seconds(20));
    CHECK_TRUE(policy.review(clock.now(), manyLate(100, milliseconds(250))).empty());
}

TEST(AdmissionPolicy, RetryTimesFollowTheStartIntervalWithinABound) {
    watch(milliseconds(1000), 100);
    const std::vector<ForecastRefusal> refusals =
        policy.review(clock.now(), manyLate(100, milliseconds(100)));
    CHECK_TRUE(refusals.size() > 10);
    for (std::size_t index = 1; index < refusals.size(); ++index) {
        CHECK_TRUE(refusals[index].retryAfter > refusals[index - 1].retryAfter);
        CHECK_TRUE(refusals[index].retryAfter <=
                   refusals[index].forecast + std::chrono::seconds(1));
    }
}

TEST(AdmissionPolicy, AnObstacleIsNoReasonToRefuseUntilItsUsualTimeIsKnown) {
    CHECK_TRUE(policy.review(clock.now(), {hindered(1, milliseconds(50))}).empty());
    losePrimary(milliseconds(800));
    CHECK_TRUE(policy.review(clock.now(), {hindered(1, milliseconds(50))}).empty());
}

TEST(AdmissionPolicy, AnObstacleThatUsuallyOutlastsTheStatementRefusesItAtOnce) {
    for (int loss = 0; loss < 3; ++loss) {
        losePrimary(milliseconds(3000));
    }
    const std::vector<ForecastRefusal> refusals = policy.review(
        clock.now(), {hindered(1, milliseconds(500)), hindered(2, milliseconds(5000))});
    LONGS_EQUAL(1, refusals.size());
    LONGS_EQUAL(1, refusals[0].session.value());
    CHECK_TRUE(refusals[0].retryAfter >= milliseconds(2900));
}

TEST(AdmissionPolicy, AnObstacleThatOutlastsItsUsualTimeGivesNoForecast) {
    for (int loss = 0; loss < 3; ++loss) {
        losePrimary(milliseconds(200));
    }
    for (Duration lasted(0); lasted < milliseconds(300); lasted += kLook) {
        policy.review(clock.now(), {hindered(1, milliseconds(500))});
        clock.advance(kLook);
    }
    CHECK_TRUE(policy.review(clock.now(), {hindered(1, milliseconds(1))}).empty());
}

/** No review takes place while the queue is empty: a block that is seen after such a pause counts
 * as a new obstacle. */
TEST(AdmissionPolicy, ObstaclesWithAPauseBetweenThemAreSeparate) {
    for (int proof = 0; proof < 8; ++proof) {
        CHECK_TRUE(policy.review(clock.now(), {hindered(1, milliseconds(500))}).empty());
        clock.advance(std::chrono::seconds(10));
    }
}

TEST(AdmissionPolicy, RetryTimesOfLateStatementsFollowEachOtherToo) {
    watch(milliseconds(1000), 100);
    const Duration first = policy.nextRetryDelay(clock.now(), kReads, milliseconds(100));
    CHECK_TRUE(policy.nextRetryDelay(clock.now(), kReads, milliseconds(100)) >
               first + milliseconds(1));
}

}  // namespace coralhoist::admission
