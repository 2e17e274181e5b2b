#include <CppUTest/TestHarness.h>

#include "lab/soak/EvacuationJudge.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kBound = milliseconds(1000);

TEST_GROUP(EvacuationJudge) {
    EvacuationJudge judge{kBound};
    TimePoint now{std::chrono::hours(1)};
    const ZoneName zone{"a"};

    void statementAfter(Duration span) {
        now += span;
        judge.onStatement(zone, now);
    }
};

TEST(EvacuationJudge, AStatementWithinTheBoundOrAfterItWasTakenBackIsAllowed) {
    judge.onStatement(zone, now);
    judge.onAsked(zone, now);
    statementAfter(kBound);
    judge.onTakenBack(zone, now + milliseconds(1));
    statementAfter(milliseconds(2));
    CHECK_TRUE(judge.violations().empty());
    UNSIGNED_LONGS_EQUAL(1, judge.judged());
}

TEST(EvacuationJudge, AStatementPastTheBoundIsNot) {
    judge.onAsked(zone, now);
    statementAfter(kBound + milliseconds(7));
    STRCMP_EQUAL("EVAC: 1 statements reached zone a, the last one 7 ms after it had to be empty",
                 judge.violations().at(0).c_str());
}

TEST(EvacuationJudge, AReturnOfTheStoreGivesAnEmptyZoneNotBack) {
    judge.onAsked(zone, now);
    now += kBound + milliseconds(1);
    judge.onStoreAway(true, now);
    judge.onStoreAway(false, now + milliseconds(10));
    statementAfter(milliseconds(20));
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
}

TEST(EvacuationJudge, TheBoundBeginsAnewAfterAnOutageBeforeItsEnd) {
    judge.onAsked(zone, now);
    judge.onStoreAway(true, now + milliseconds(500));
    statementAfter(kBound * 3);
    judge.onStoreAway(false, now);
    statementAfter(kBound);
    CHECK_TRUE(judge.violations().empty());
    statementAfter(milliseconds(1));
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
}

}  // namespace
}  // namespace coralhoist::soak
