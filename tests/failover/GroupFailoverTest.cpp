#include <CppUTest/TestHarness.h>

#include "FailoverFixture.h"

namespace coralhoist::pooled {
namespace {

using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(GroupFailover){};

TEST(GroupFailover, PromotesTheMostAdvancedReplicaOfAFailedPrimary) {
    FailoverFixture fixture;
    fixture.commit(10);
    fixture.server(1).deaf = true;
    fixture.commit(10);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.server(2).primary);
    UNSIGNED_LONGS_EQUAL(2, fixture.server(2).term);
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/**
 * A closed record lets nodes that start write at once, so no older proof of leadership may be valid
 * by then.
 */
TEST(GroupFailover, ClosesTheRecordOnlyWhenItsAnnouncementIsOlderThanTheLease) {
    FailoverFixture fixture;
    fixture.commit(10);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    const auto runUntil = [&fixture](PromotionPhase phase) {
        for (int step = 0; step < 400 && fixture.record().phase != phase; ++step) {
            fixture.run(milliseconds(5));
        }
        CHECK_TRUE(fixture.record().phase == phase);
        return fixture.queue.now();
    };
    const TimePoint announcedAt = runUntil(PromotionPhase::Promoting);
    const TimePoint closedAt = runUntil(PromotionPhase::None);
    CHECK_TRUE(closedAt - announcedAt >= pooling::kLeadershipLease);
}

TEST(GroupFailover, KeepsAPrimaryThatResponds) {
    FailoverFixture fixture;
    fixture.commit(3);
    fixture.suspect(0, SuspicionReason::Silent);
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.server(0).primary);
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
    CHECK_FALSE(fixture.record().version.exists());
}

TEST(GroupFailover, ReplacesAPrimaryThatAnnouncesItsShutdown) {
    FailoverFixture fixture;
    fixture.commit(5);
    fixture.server(0).draining = true;
    fixture.run(seconds(2));
    CHECK_FALSE(fixture.server(0).primary);
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

TEST(GroupFailover, OneOfManyNodesActsOnAConditionThatAllSee) {
    constexpr std::size_t kNodes = 8;
    FailoverFixture fixture(kNodes);
    fixture.commit(5);
    fixture.server(0).draining = true;
    for (int step = 0; step < 400; ++step) {
        fixture.run(milliseconds(5));
        for (std::size_t node = 1; node < kNodes; ++node) {
            CHECK_TRUE(fixture.failover(node).isIdle());
        }
    }
    CHECK_FALSE(fixture.server(0).primary);
    UNSIGNED_LONGS_EQUAL(1, fixture.failover(0).promotions());
}

TEST(GroupFailover, TheNextNodeActsWhenEarlierNodesHaveEnded) {
    FailoverFixture fixture(3);
    fixture.commit(5);
    fixture.nodes[0].activity->end();
    fixture.nodes[1].activity->end();
    fixture.server(0).draining = true;
    fixture.run(seconds(2));
    UNSIGNED_LONGS_EQUAL(1, fixture.failover(2).promotions());
}

/**
 * Guards against a promotion that loses commits of an earlier term: a lagging replica lacks them,
 * and the primary that has them is suspected.
 */
TEST(GroupFailover, NeverPromotesAServerThatLacksCommitsOfAnEarlierReign) {
    FailoverFixture fixture;
    fixture.commit(11);
    fixture.server(2).deaf = true;
    fixture.commit(51);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.server(1).primary);
    fixture.suspect(0, SuspicionReason::WritesUnanswered);
    fixture.run(seconds(4));
    CHECK_FALSE(fixture.server(2).primary);
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
    // The primary that stepped down without a successor leads again.
    CHECK_TRUE(fixture.server(1).primary);
}

/**
 * Guards against a promotion that loses commits of an earlier term because the successor of the
 * first promotion, the only running server that has them, crashes before the lagging replica has
 * caught up.
 */
TEST(GroupFailover, WaitsForTheOnlyServerWithAllCommits) {
    FailoverFixture fixture;
    fixture.commit(11);
    fixture.server(2).deaf = true;
    fixture.commit(51);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(2));
    fixture.group.crash(fixture.server(1));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(3));
    CHECK_FALSE(fixture.server(2).primary);
    fixture.group.restart(fixture.server(1));
    fixture.run(seconds(3));
    CHECK_TRUE(fixture.server(1).primary);
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/** Guards against two nodes that promote alternately within three seconds. */
TEST(GroupFailover, NodesDoNotPromoteInTurnWithinALease) {
    FailoverFixture fixture(2);
    fixture.commit(5);
    fixture.suspect(0, SuspicionReason::WritesUnanswered);
    fixture.run(milliseconds(1200));
    fixture.suspect(1, SuspicionReason::WritesUnanswered);
    fixture.run(milliseconds(1200));
    fixture.suspect(0, SuspicionReason::WritesUnanswered);
    fixture.run(seconds(4));
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

TEST(GroupFailover, AnotherNodeFinishesThePromotionOfAnEndedNode) {
    FailoverFixture fixture(2);
    fixture.commit(5);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    while (fixture.record().phase == PromotionPhase::None) {
        fixture.run(milliseconds(2));
    }
    fixture.nodes[0].activity->end();
    fixture.nodes[0].activity->freeze();
    fixture.run(seconds(6));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    CHECK_TRUE(fixture.record().holder == "n2/1");
}

TEST(GroupFailover, NothingIsPromotedWhileTheStoreIsDown) {
    FailoverFixture fixture;
    fixture.commit(5);
    fixture.store.faults().down = true;
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(2));
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
}

}  // namespace
}  // namespace coralhoist::pooled
