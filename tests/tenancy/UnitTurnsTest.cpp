#include <CppUTest/TestHarness.h>

#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(UnitTurns) {
    UnitTurns turns;
    TimePoint now{seconds(1000)};

    /**
     * A bucket that holds the given number of tokens, with a capacity of 20 and a rate of 100 per
     * second.
     */
    static PacedUnits holding(double tokens) {
        return {tokens, 20, 100};
    }
    std::uint32_t grantable(std::uint32_t rank, std::uint32_t fresh, double tokens) {
        return turns.grantable({rank, fresh, 0, 0}, holding(tokens), now);
    }
};

TEST(UnitTurns, WithoutDemandOfOthersEachRankMayTakeAll) {
    UNSIGNED_LONGS_EQUAL(3, grantable(2, 5, 3.9));
}

TEST(UnitTurns, APartOfTheBucketIsKeptForTheDemandOfMoreUrgentRanks) {
    turns.noteAsked(0, 20, now);
    // 20 units per second are reserved for 250 ms.
    UNSIGNED_LONGS_EQUAL(0, grantable(1, 1, 5.5));
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 6));
    UNSIGNED_LONGS_EQUAL(1, grantable(0, 1, 1));
}

TEST(UnitTurns, NoMoreThanHalfOfTheBucketIsKept) {
    turns.noteAsked(0, 1000, now);
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 11));
}

TEST(UnitTurns, WhatWasAskedLongAgoKeepsNothing) {
    turns.noteAsked(0, 20, now);
    now += seconds(5);
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 2));
}

TEST(UnitTurns, WhoComesLaterIsBehindThoseWhoHaveATurn) {
    turns.promise(1, 2, now + milliseconds(10));
    UNSIGNED_LONGS_EQUAL(0, grantable(1, 1, 2));
    UNSIGNED_LONGS_EQUAL(0, grantable(2, 1, 2));
    UNSIGNED_LONGS_EQUAL(1, grantable(0, 1, 2));
    CHECK_TRUE(turns.untilGranted({1, 1, 0, 0}, holding(1), now) == milliseconds(20));
}

TEST(UnitTurns, WhoComesInTurnIsFirst) {
    turns.promise(1, 2, now);
    UNSIGNED_LONGS_EQUAL(2, turns.claim(1, 3, now));
    UNSIGNED_LONGS_EQUAL(0, turns.promisedUpTo(1, now));
    turns.promise(1, 5, now + milliseconds(100));
    UNSIGNED_LONGS_EQUAL(2, turns.grantable({1, 0, 2, 0}, holding(2), now));
}

TEST(UnitTurns, ATurnIsClaimedOnceAndNotBeforeItIsDue) {
    turns.promise(1, 1, now + milliseconds(50));
    UNSIGNED_LONGS_EQUAL(0, turns.claim(1, 1, now));
    now += milliseconds(50);
    UNSIGNED_LONGS_EQUAL(0, turns.claim(2, 1, now));
    UNSIGNED_LONGS_EQUAL(1, turns.claim(1, 1, now));
    UNSIGNED_LONGS_EQUAL(0, turns.claim(1, 1, now));
}

TEST(UnitTurns, ATurnInWhichNobodyComesExpires) {
    turns.promise(1, 1, now);
    now += milliseconds(199);
    UNSIGNED_LONGS_EQUAL(1, turns.promisedUpTo(1, now));
    now += milliseconds(1);
    UNSIGNED_LONGS_EQUAL(0, turns.promisedUpTo(1, now));
}

TEST(UnitTurns, TurnsAreBoundedInNumber) {
    for (int turn = 0; turn < 5000; ++turn) {
        turns.promise(1, 1, now);
    }
    UNSIGNED_LONGS_EQUAL(1024, turns.promisedUpTo(1, now));
}

TEST(UnitTurns, TheTimeCountsWhatMoreUrgentRanksTake) {
    turns.noteAsked(0, 50, now);
    // 10 tokens are reserved, and half of the rate is left.
    CHECK_TRUE(turns.untilGranted({1, 1, 0, 0}, holding(0), now) == milliseconds(220));
}

TEST(UnitTurns, WhatIsGrantedIsTakenInTurnFirst) {
    const RankedWish left = RankedWish{1, 2, 2, 1}.without(3);
    UNSIGNED_LONGS_EQUAL(0, left.inTurn);
    UNSIGNED_LONGS_EQUAL(1, left.fresh);
    UNSIGNED_LONGS_EQUAL(1, left.nowOnly);
}

}  // namespace
}  // namespace coralhoist::tenancy
