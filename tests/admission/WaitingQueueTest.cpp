#include <CppUTest/TestHarness.h>

#include "admission/WaitingQueue.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::admission {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(WaitingQueue) {
    testing::ManualClock clock;
    WaitingQueue queue;

    void add(std::uint64_t session, std::uint32_t rank, Duration slotTime) {
        queue.add({SessionId(session), rank, clock.now(), milliseconds(100), slotTime});
    }
    void checkOrder(const std::vector<std::uint64_t>& expected) const {
        const std::vector<SessionId> order = queue.order(clock.now());
        LONGS_EQUAL(expected.size(), order.size());
        for (std::size_t index = 0; index < expected.size(); ++index) {
            LONGS_EQUAL(expected[index], order[index].value());
        }
    }
};

TEST(WaitingQueue, LowerRanksGoFirst) {
    add(1, 2, milliseconds(1));
    add(2, 0, milliseconds(50));
    add(3, 1, milliseconds(10));
    checkOrder({2, 3, 1});
    LONGS_EQUAL(1, queue.sizeOf(2));
}

TEST(WaitingQueue, WhatIsOnTimeGoesBeforeWhatIsLate) {
    add(1, 1, milliseconds(1));
    clock.advance(milliseconds(100));
    add(2, 1, milliseconds(50));
    checkOrder({2, 1});
}

TEST(WaitingQueue, OfThoseOnTimeTheShortestGoesFirst) {
    add(1, 1, milliseconds(50));
    add(2, 1, milliseconds(5));
    add(3, 1, milliseconds(50));
    checkOrder({2, 1, 3});
}

TEST(WaitingQueue, AStatementThatWaitsAgainStandsOnceAndBehind) {
    add(1, 1, milliseconds(5));
    add(2, 1, milliseconds(5));
    add(1, 1, milliseconds(5));
    checkOrder({2, 1});
    queue.remove(SessionId(2));
    checkOrder({1});
}

}  // namespace
}  // namespace coralhoist::admission
