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

TEST(UnitTurns, WithoutDemandOfOtherRanksEachRankMayTakeAllUnits) {
    UNSIGNED_LONGS_EQUAL(3, grantable(2, 5, 3.9));
}

TEST(UnitTurns, APartOfTheBucketIsReservedForTheDemandOfMoreUrgentRanks) {
    turns.noteDemand(0, 20, now);
    // 20 units per second are reserved for 250 ms.
    UNSIGNED_LONGS_EQUAL(0, grantable(1, 1, 5.5));
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 6));
    UNSIGNED_LONGS_EQUAL(1, grantable(0, 1, 1));
}

TEST(UnitTurns, AtMostHalfOfTheBucketIsReserved) {
    turns.noteDemand(0, 1000, now);
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 11));
}

TEST(UnitTurns, OldDemandReservesNothing) {
    turns.noteDemand(0, 20, now);
    now += seconds(5);
    UNSIGNED_LONGS_EQUAL(1, grantable(1, 1, 2));
}

TEST(UnitTurns, NewRequestsComeAfterThoseThatHaveATurn) {
    turns.addTurn(1, 2, now + milliseconds(10));
    UNSIGNED_LONGS_EQUAL(0, grantable(1, 1, 2));
    UNSIGNED_LONGS_EQUAL(0, grantable(2, 1, 2));
    UNSIGNED_LONGS_EQUAL(1, grantable(0, 1, 2));
    CHECK_TRUE(turns.untilGranted({1, 1, 0, 0}, holding(1), now) == milliseconds(20));
}

TEST(UnitTurns, RequestsInTurnComeFirst) {
    turns.addTurn(1, 2, now);
    UNSIGNED_LONGS_EQUAL(2, turns.claim(1, 3, now));
    UNSIGNED_LONGS_EQUAL(0, turns.scheduledUpTo(1, now));
    turns.addTurn(1, 5, now + milliseconds(100));
    UNSIGNED_LONGS_EQUAL(2, turns.grantable({1, 0, 2, 0}, holding(2), now));
}

TEST(UnitTurns, ATurnIsClaimedOnceAndNotBeforeItIsDue) {
    turns.addTurn(1, 1, now + milliseconds(50));
    UNSIGNED_LONGS_EQUAL(0, turns.claim(1, 1, now));
    now += milliseconds(50);
    UNSIGNED_LONGS_EQUAL(0, turns.claim(2, 1, now));
    UNSIGNED_LONGS_EQUAL(1, turns.claim(1, 1, now));
    UNSIGNED_LONGS_EQUAL(0, turns.claim(1, 1, now));
}

TEST(UnitTurns, AnUnclaimedTurnExpires) {
    turns.addTurn(1, 1, now);
    now += milliseconds(199);
    UNSIGNED_LONGS_EQUAL(1, turns.scheduledUpTo(1, now));
    now += milliseconds(1);
    UNSIGNED_LONGS_EQUAL(0, turns.scheduledUpTo(1, now));
}

TEST(UnitTurns, TurnsAreBoundedInNumber) {
    for (int turn = 0; turn < 5000; ++turn) {
        turns.addTurn(1, 1, now);
    }
    UNSIGNED_LONGS_EQUAL(1024, turns.scheduledUpTo(1, now));
}

TEST(UnitTurns, TheAnnouncedTimeIncludesTheDemandOfMoreUrgentRanks) {
    turns.noteDemand(0, 50, now);
    // 10 tokens are reserved, and half of the rate is left.
    CHECK_TRUE(turns.untilGranted({1, 1, 0, 0}, holding(0), now) == milliseconds(220));
}

TEST(UnitTurns, GrantedUnitsAreTakenFromThoseInTurnFirst) {
    const RankedRequest left = RankedRequest{1, 2, 2, 1}.without(3);
    UNSIGNED_LONGS_EQUAL(0, left.inTurn);
    UNSIGNED_LONGS_EQUAL(1, left.fresh);
    UNSIGNED_LONGS_EQUAL(1, left.immediateOnly);
}

}  // namespace
}  // namespace coralhoist::tenancy
