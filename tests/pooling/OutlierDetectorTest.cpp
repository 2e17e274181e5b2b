#include <CppUTest/TestHarness.h>

#include "pooling/OutlierDetector.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OutlierDetector) {
    OutlierDetector detector;
    std::vector<ServerName> serving{ServerName("s1"), ServerName("s2"), ServerName("s3")};
    TimePoint now{seconds(100)};

    const ServerName& server(int number) {
        return serving.at(static_cast<std::size_t>(number - 1));
    }

    void succeed(int number, int times, double slowness = 1) {
        for (int index = 0; index < times; ++index) {
            detector.onSuccess(server(number), slowness, now);
        }
    }

    void fail(int number, int times) {
        for (int index = 0; index < times; ++index) {
            detector.onFailure(server(number), now);
        }
    }

    std::vector<StandingChange> review() {
        return detector.review(serving, now);
    }

    bool isAdmitted(int number) {
        return detector.standingOf(server(number)) == ServerStanding::Admitted;
    }

    /** Ejects the server and advances the time until the server is on probation. */
    void toProbation(int number, Duration ejection = milliseconds(500)) {
        succeed(number, 6);
        fail(number, 5);
        review();
        now += ejection;
        review();
        CHECK(detector.standingOf(server(number)) == ServerStanding::OnProbation);
    }
};

TEST(OutlierDetector, AServerThatFailsAThirdOfItsRequestsIsEjected) {
    succeed(1, 20);
    succeed(2, 10);
    fail(2, 5);
    const std::vector<StandingChange> changes = review();
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].server == server(2));
    CHECK(changes[0].standing == ServerStanding::Ejected);
    LONGS_EQUAL(15, changes[0].requests);
    LONGS_EQUAL(5, changes[0].failures);
}

TEST(OutlierDetector, AServerThatFailsFewerStays) {
    succeed(2, 11);
    fail(2, 5);
    CHECK(review().empty());
}

TEST(OutlierDetector, AFewRequestsShowNothing) {
    fail(2, 7);
    CHECK(review().empty());
}

TEST(OutlierDetector, FailuresAtAllServersEjectNone) {
    for (int number = 1; number <= 3; ++number) {
        fail(number, 10);
    }
    CHECK(review().empty());
}

TEST(OutlierDetector, AFewFailuresShowNothing) {
    succeed(2, 4);
    fail(2, 4);
    CHECK(review().empty());
}

TEST(OutlierDetector, AServerThatTakesThreeTimesTheOthersIsSlow) {
    succeed(1, 10);
    succeed(2, 10, 3.5);
    succeed(3, 10);
    review();
    CHECK(isAdmitted(1));
    CHECK(detector.standingOf(server(2)) == ServerStanding::Slow);
    CHECK(isAdmitted(3));
}

TEST(OutlierDetector, AServerIsNotSlowByItself) {
    succeed(2, 10, 9);
    CHECK(review().empty());
}

TEST(OutlierDetector, AtMostHalfAreEjectedAtOnce) {
    succeed(1, 10);
    for (int number = 2; number <= 3; ++number) {
        succeed(number, 10, 5);
    }
    succeed(2, 10, 200);
    fail(3, 10);
    review();
    LONGS_EQUAL(2, isAdmitted(1) + isAdmitted(2) + isAdmitted(3));
}

TEST(OutlierDetector, TheOnlyServerStays) {
    serving.resize(1);
    fail(1, 20);
    CHECK(review().empty());
}

TEST(OutlierDetector, OutcomesOutsideTheWindowDoNotCount) {
    fail(2, 10);
    now += milliseconds(1250);
    CHECK(review().empty());
}

TEST(OutlierDetector, AServerEjectedWronglyComesBack) {
    toProbation(2);
    succeed(2, 4);
    CHECK(review().empty());
    succeed(2, 1);
    const std::vector<StandingChange> changes = review();
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].standing == ServerStanding::Admitted);
    CHECK(review().empty());
}

TEST(OutlierDetector, ASlowResponseOnProbationRestartsTheCountOfSuccesses) {
    toProbation(2);
    succeed(2, 4);
    succeed(2, 1, 3);
    succeed(2, 4);
    CHECK(review().empty());
}

TEST(OutlierDetector, TwoFailuresOnProbationEjectForTwiceAsLong) {
    toProbation(2);
    succeed(2, 4);
    fail(2, 1);
    CHECK(review().empty());
    fail(2, 1);
    const std::vector<StandingChange> changes = review();
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].standing == ServerStanding::Ejected);
    CHECK(changes[0].ejectedFor == seconds(1));
}

TEST(OutlierDetector, FlappingServersAreEjectedForLonger) {
    toProbation(2);
    Duration longest{0};
    for (int round = 0; round < 8; ++round) {
        fail(2, 2);
        longest = review().at(0).ejectedFor;
        now += longest;
        review();
    }
    CHECK(longest == seconds(2));
}

TEST(OutlierDetector, EjectionsOfLongAgoAreForgotten) {
    toProbation(2);
    succeed(2, 5);
    review();
    now += seconds(11);
    succeed(2, 6);
    fail(2, 5);
    CHECK(review().at(0).ejectedFor == milliseconds(500));
}

TEST(OutlierDetector, ANewIncarnationStartsWithoutHistory) {
    succeed(2, 6);
    fail(2, 5);
    review();
    CHECK_FALSE(isAdmitted(2));
    detector.forget(server(2));
    CHECK(isAdmitted(2));
    CHECK(review().empty());
}

}  // namespace
}  // namespace coralhoist::pooling
