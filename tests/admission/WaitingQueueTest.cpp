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

TEST(WaitingQueue, AStatementAddedAgainIsQueuedOnceAtTheEnd) {
    add(1, 1, milliseconds(5));
    add(2, 1, milliseconds(5));
    add(1, 1, milliseconds(5));
    checkOrder({2, 1});
    queue.remove(SessionId(2));
    checkOrder({1});
}

TEST(WaitingQueue, WhatIsLateKeepsTheOrderOfItsArrival) {
    add(1, 1, milliseconds(50));
    add(2, 1, milliseconds(5));
    clock.advance(milliseconds(100));
    checkOrder({1, 2});
    queue.remove(SessionId(1));
    checkOrder({2});
}

TEST(WaitingQueue, APlacedStatementTakesATurnOfItsFlow) {
    for (const std::uint64_t session : {1, 2}) {
        queue.add({SessionId(session), 1, clock.now(), milliseconds(100), milliseconds(50), "a"});
    }
    queue.add({SessionId(3), 1, clock.now(), milliseconds(100), milliseconds(50), "b"});
    queue.placed(SessionId(1));
    checkOrder({3, 2});
}

TEST(WaitingQueue, AStatementThatLeavesTakesNoTurn) {
    for (const std::uint64_t session : {1, 2}) {
        queue.add({SessionId(session), 1, clock.now(), milliseconds(100), milliseconds(50), "a"});
    }
    queue.add({SessionId(3), 1, clock.now(), milliseconds(100), milliseconds(50), "b"});
    queue.remove(SessionId(1));
    checkOrder({2, 3});
}

TEST(WaitingQueue, ALowerRankGoesFirstOnceItsMinimumShareCoversAStatement) {
    queue.setMinimumShare(25);
    add(9, 1, milliseconds(5));
    for (const std::uint64_t session : {1, 2, 3, 4}) {
        add(session, 0, milliseconds(5));
        checkOrder({session, 9});
        queue.placed(SessionId(session));
    }
    add(5, 0, milliseconds(5));
    checkOrder({9, 5});
    queue.placed(SessionId(9));
    add(9, 1, milliseconds(5));
    checkOrder({5, 9});
}

}  // namespace
}  // namespace coralhoist::admission
