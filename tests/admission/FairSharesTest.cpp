#include <CppUTest/TestHarness.h>

#include "admission/FairShares.h"

namespace coralhoist::admission {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(FairShares) {
    FairShares shares;

    static FairShares::Waiting statement(std::uint64_t number, Duration slotTime) {
        return {slotTime, number, SessionId(number)};
    }
    void add(const char* flow, std::uint64_t number, Duration slotTime) {
        shares.add(flow, statement(number, slotTime));
    }
    void checkOrder(const std::vector<std::uint64_t>& expected) const {
        std::vector<SessionId> order;
        shares.appendOrder(order);
        LONGS_EQUAL(expected.size(), order.size());
        for (std::size_t index = 0; index < expected.size(); ++index) {
            LONGS_EQUAL(expected[index], order[index].value());
        }
    }
};

TEST(FairShares, OfOneFlowTheShortestGoesFirst) {
    add("a", 1, milliseconds(50));
    add("a", 2, milliseconds(5));
    add("a", 3, milliseconds(50));
    checkOrder({2, 1, 3});
}

TEST(FairShares, FlowsTakeTurnsBySlotTime) {
    for (const std::uint64_t number : {1, 2, 3}) {
        add("long", number, milliseconds(100));
    }
    for (const std::uint64_t number : {4, 5, 6, 7}) {
        add("short", number, milliseconds(50));
    }
    // Two short statements are served for each long one.
    checkOrder({4, 1, 5, 6, 2, 7, 3});
}

TEST(FairShares, AFlowThatWasServedLessGoesFirst) {
    add("a", 1, milliseconds(10));
    add("b", 2, milliseconds(20));
    shares.charge("a", milliseconds(50));
    checkOrder({2, 1});
}

TEST(FairShares, OfFlowsServedAlikeTheShortestGoesFirst) {
    add("a", 1, milliseconds(10));
    add("b", 2, milliseconds(20));
    shares.charge("a", milliseconds(40));
    checkOrder({1, 2});
}

TEST(FairShares, HavingBeenIdleGivesNoCredit) {
    add("a", 1, milliseconds(50));
    shares.charge("a", milliseconds(400));
    shares.charge("a", milliseconds(50));
    add("b", 2, milliseconds(50));
    add("b", 3, milliseconds(50));
    // Flow "a" was served until 450 ms; "b" starts at 400 ms, the start of the last placed
    // statement.
    checkOrder({2, 1, 3});
}

TEST(FairShares, HavingBeenHeldUpGivesABoundedCredit) {
    for (const std::uint64_t number : {1, 2, 3}) {
        add("held up", number, milliseconds(100));
    }
    add("other", 4, milliseconds(100));
    for (int turn = 0; turn < 20; ++turn) {
        shares.charge("other", milliseconds(50));
    }
    // The credit is 100 ms before the virtual time of 950 ms: the held-up flow's statements start
    // at 850, 950 and 1050 ms, the statement of the other flow at 1000 ms.
    checkOrder({1, 2, 4, 3});
}

TEST(FairShares, AStatementOfUnknownSlotTimeTakesATurnToo) {
    add("a", 1, Duration(0));
    add("b", 2, Duration(0));
    for (int turn = 0; turn < 3; ++turn) {
        shares.charge("a", Duration(0));
    }
    checkOrder({2, 1});
}

TEST(FairShares, WhatIsTakenOutTakesNoTurn) {
    add("a", 1, milliseconds(10));
    add("b", 2, milliseconds(10));
    add("a", 3, milliseconds(10));
    shares.remove("a", statement(1, milliseconds(10)));
    checkOrder({2, 3});
}

}  // namespace
}  // namespace coralhoist::admission
