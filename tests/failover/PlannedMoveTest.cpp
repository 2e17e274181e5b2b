/** Planned moves of primaries that should not lead where they run, and faults during such moves. */
#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

#include "FailoverFixture.h"
#include "failover/FailoverTiming.h"

namespace coralhoist::pooled {
namespace {

using failover::PlannedMoveRateLimiter;
using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(PlannedMove) {
    FailoverFixture fixture{3};

    void setup() override {
        fixture.commit(10);
    }

    void teardown() override {
        UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
    }

    void runUntil(PromotionPhase phase) {
        for (int step = 0; step < 2000 && fixture.record().phase != phase; ++step) {
            fixture.run(milliseconds(1));
        }
        CHECK_TRUE(fixture.record().phase == phase);
    }

    std::uint64_t plannedMoves() {
        std::uint64_t moves = 0;
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            moves += fixture.failover(node).plannedMoves();
        }
        return moves;
    }

    /** Checks that the present primary acknowledges commits. */
    void checkCommits() {
        const std::size_t before = fixture.judge.acknowledged();
        fixture.commit(5);
        fixture.run(milliseconds(20));
        UNSIGNED_LONGS_EQUAL(before + 5, fixture.judge.acknowledged());
    }
};

TEST(PlannedMove, APrimaryThatShouldNotLeadIsReplacedByTheServerThatSuitsBest) {
    fixture.setLastResort(0, true);
    fixture.setAcceptable(1);
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.server(2).primary);
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    UNSIGNED_LONGS_EQUAL(1, plannedMoves());
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    checkCommits();
}

TEST(PlannedMove, NothingIsAskedOrWrittenWhileThePrimaryMayStay) {
    fixture.setLastResort(1, true);
    for (int step = 0; step < 500; ++step) {
        fixture.run(milliseconds(10));
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            CHECK_TRUE(fixture.failover(node).isIdle());
        }
    }
    CHECK_FALSE(fixture.record().version.exists());
}

/** A claim would stop the primary's writes. */
TEST(PlannedMove, ThePrimaryServesOnUntilABetterServerHasCaughtUp) {
    fixture.server(1).deaf = true;
    fixture.commit(20);
    fixture.setLastResort(0, true);
    fixture.setLastResort(2, true);
    for (int step = 0; step < 50; ++step) {
        fixture.run(milliseconds(100));
        checkCommits();
        CHECK_FALSE(fixture.record().version.exists());
    }
    fixture.server(1).deaf = false;
    fixture.run(seconds(4));
    CHECK_TRUE(fixture.server(1).primary);
}

/**
 * The successor stops receiving while the node claims the record. No server was ordered to step
 * down before that, so the node withdraws the claim and the primary keeps leading.
 */
TEST(PlannedMove, AClaimIsWithdrawnWhenTheSuccessorFallsBehind) {
    fixture.setLastResort(0, true);
    fixture.setLastResort(2, true);
    fixture.server(1).deaf = true;
    for (int step = 0; step < 300; ++step) {
        fixture.commit(1);
        CHECK_TRUE(fixture.server(0).primary);
    }
    CHECK_TRUE(fixture.record().version.exists());
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
    fixture.run(seconds(1));
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    checkCommits();
    fixture.server(1).deaf = false;
    fixture.run(seconds(8));
    CHECK_TRUE(fixture.server(1).primary);
}

TEST(PlannedMove, APrimaryServesOnWhileNoServerSuitsBetterAndMovesOnceOneJoins) {
    for (std::size_t server = 0; server < 3; ++server) {
        fixture.setLastResort(server, true);
    }
    for (int step = 0; step < 300; ++step) {
        fixture.run(milliseconds(10));
        CHECK_TRUE(fixture.failover(0).isIdle());
    }
    CHECK_FALSE(fixture.record().version.exists());
    checkCommits();
    fixture.group.join();
    fixture.run(seconds(3));
    CHECK_TRUE(fixture.server(3).primary);
}

TEST(PlannedMove, APrimaryThatMerelySuitsLessMovesOnceInMinutes) {
    fixture.setAcceptable(0);
    fixture.run(seconds(3));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    const std::size_t leader = fixture.server(1).primary ? 1 : 2;
    fixture.setAcceptable(leader);
    fixture.run(minutes(2));
    CHECK_TRUE(fixture.server(leader).primary);
    fixture.run(minutes(2));
    CHECK_FALSE(fixture.server(leader).primary);
    UNSIGNED_LONGS_EQUAL(2, fixture.group.promotions());
}

/**
 * The evacuation of a zone makes its server one of last resort. The evacuation of the first zone is
 * cancelled while the move is in progress. Then the zones are evacuated one after another, until
 * every server is one of last resort.
 */
TEST(PlannedMove, RequestsInSeriesMoveThePrimaryAtOnce) {
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Preparing);
    fixture.setLastResort(0, false);
    fixture.run(seconds(4));
    std::uint64_t promotions = fixture.group.promotions();
    CHECK_TRUE(promotions <= 1);
    for (const std::size_t next : {0, 1, 2}) {
        fixture.setLastResort(next, true);
        fixture.run(seconds(5));
        checkCommits();
    }
    CHECK_TRUE(fixture.group.promotions() >= promotions + 1);
    CHECK_TRUE(fixture.group.promotions() <= promotions + 2);
    promotions = fixture.group.promotions();
    fixture.run(seconds(30));
    UNSIGNED_LONGS_EQUAL(promotions, fixture.group.promotions());
}

TEST(PlannedMove, AnOverloadedPrimaryThatRespondsIsMoved) {
    fixture.setLastResort(0, true);
    for (int step = 0; step < 40; ++step) {
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            fixture.suspect(node, SuspicionReason::Silent);
        }
        fixture.run(milliseconds(100));
    }
    CHECK_FALSE(fixture.server(0).primary);
    UNSIGNED_LONGS_EQUAL(1, plannedMoves());
}

TEST(PlannedMove, AnotherNodeEndsWhatADeadOneHasAnnounced) {
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Promoting);
    fixture.nodes[0].activity->end();
    fixture.nodes[0].activity->freeze();
    fixture.run(seconds(8));
    CHECK_FALSE(fixture.server(0).primary);
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    checkCommits();
}

/** The other server that is not of last resort leads. */
TEST(PlannedMove, ASuccessorThatLosesPowerHalfwayIsReplaced) {
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Promoting);
    const ServerName successor = fixture.record().successor;
    fixture.group.crash(fixture.group.server(successor));
    fixture.run(seconds(8));
    CHECK_FALSE(fixture.server(0).primary);
    CHECK_FALSE(fixture.group.server(successor).primary);
    checkCommits();
}

TEST(PlannedMove, APrimaryThatLosesPowerHalfwayIsReplaced) {
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Preparing);
    fixture.group.crash(fixture.server(0));
    fixture.run(seconds(5));
    CHECK_TRUE(fixture.server(1).primary || fixture.server(2).primary);
    checkCommits();
}

TEST(PlannedMove, AStoreThatReturnsOlderHalfwayDelaysTheMove) {
    fixture.store.showEras();
    fixture.run(failover::kTakeOverAfter + milliseconds(100));
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Promoting);
    fixture.store.returnOlder(seconds(5));
    fixture.run(seconds(12));
    CHECK_FALSE(fixture.server(0).primary);
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    checkCommits();
}

/** The node reaches the servers, and must not stop a primary that it cannot replace. */
TEST(PlannedMove, ANodeCutOffFromTheStoreLeavesTheMoveToOthers) {
    fixture.nodes[0].client->setCut(true);
    fixture.setLastResort(0, true);
    fixture.run(seconds(3));
    CHECK_FALSE(fixture.server(0).primary);
    UNSIGNED_LONGS_EQUAL(0, fixture.failover(0).plannedMoves());
    UNSIGNED_LONGS_EQUAL(1, plannedMoves());
}

TEST(PlannedMove, NothingStopsWhileAllNodesAreCutOffFromTheStore) {
    for (FailoverNode& node : fixture.nodes) {
        node.client->setCut(true);
    }
    fixture.setLastResort(0, true);
    fixture.run(seconds(5));
    CHECK_TRUE(fixture.server(0).primary);
    checkCommits();
}

/**
 * A server of last resort still receives the log: the former primary becomes the replica, so each
 * commit reaches the two servers that its acknowledgement requires.
 */
TEST(PlannedMove, TheOnlyReplicaMayBeAServerOfLastResort) {
    fixture.group.leave(fixture.server(2));
    fixture.run(seconds(1));
    fixture.setLastResort(0, true);
    fixture.run(seconds(4));
    CHECK_TRUE(fixture.server(1).primary);
    checkCommits();
    CHECK_TRUE(fixture.server(0).received() == fixture.server(1).received());
}

TEST(PlannedMove, AFailoverPrefersAServerThatCanServe) {
    fixture.setLastResort(1, true);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.server(2).primary);
}

/**
 * The server leads after the timeout for a more suitable one, which replaces it as soon as it can
 * lead.
 */
TEST(PlannedMove, AServerOfLastResortLeadsUntilABetterOneCan) {
    fixture.setLastResort(1, true);
    fixture.group.crash(fixture.server(2));
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(milliseconds(1500));
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
    fixture.run(seconds(4));
    // Two members are unreachable, and either may have a longer log.
    fixture.group.restart(fixture.server(0));
    fixture.server(0).deaf = true;
    fixture.setLastResort(0, true);
    fixture.run(seconds(4));
    CHECK_TRUE(fixture.server(1).primary || fixture.server(0).primary);
    fixture.server(0).deaf = false;
    fixture.group.restart(fixture.server(2));
    fixture.run(seconds(5));
    CHECK_TRUE(fixture.server(2).primary);
}

/** The primary, which is more suitable, is back with its log within the timeout. */
TEST(PlannedMove, AFormerPrimaryThatComesBackLeadsBeforeAServerOfLastResort) {
    fixture.setLastResort(1, true);
    fixture.server(2).deaf = true;
    fixture.commit(10);
    fixture.group.crash(fixture.server(0));
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(milliseconds(1000));
    fixture.group.restart(fixture.server(0));
    fixture.run(seconds(3));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    CHECK_TRUE(fixture.server(0).primary);
    checkCommits();
}

/**
 * The primary and its log are lost before any node can promote. Only the longest log has the
 * commits that the primary and that replica acknowledged together.
 */
TEST(PlannedMove, AServerOfLastResortLeadsIfOnlyItHasAllCommits) {
    fixture.setLastResort(1, true);
    fixture.server(2).deaf = true;
    fixture.commit(10);
    fixture.group.leave(fixture.server(0));
    for (FailoverNode& node : fixture.nodes) {
        node.client->setCut(true);
    }
    fixture.run(seconds(11));
    for (FailoverNode& node : fixture.nodes) {
        node.client->setCut(false);
    }
    fixture.run(seconds(5));
    CHECK_TRUE(fixture.server(1).primary);
}

/** The less suitable server responds first. */
TEST(PlannedMove, AMoreSuitableServerIsAwaitedThoughItRespondsLate) {
    fixture.setLastResort(0, true);
    fixture.setAcceptable(1);
    fixture.server(2).orderDelay = milliseconds(100);
    fixture.run(seconds(3));
    CHECK_TRUE(fixture.server(2).primary);
}

/** The first announcement takes no effect, so that the second names too high a term. */
TEST(PlannedMove, APausedReplicaReceivesAgainThoughItAnswersLate) {
    fixture.setLastResort(0, true);
    runUntil(PromotionPhase::Promoting);
    fixture.group.crash(fixture.group.server(fixture.record().successor));
    fixture.server(0).orderDelay = milliseconds(400);
    fixture.run(seconds(8));
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    // A record whose term fell at its closing would be taken for an older one, and the promotion
    // would begin again.
    fixture.run(seconds(8));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    checkCommits();
}

TEST(PlannedMove, ManyGroupsMoveAtOnceWithinTheRateOfCalls) {
    constexpr std::size_t kGroups = 50;
    constexpr std::size_t kMostInASecond = 20;
    PlannedMoveRateLimiter rateLimiter;
    std::vector<std::unique_ptr<FailoverFixture>> groups;
    for (std::size_t group = 0; group < kGroups; ++group) {
        groups.push_back(std::make_unique<FailoverFixture>(1, &rateLimiter));
        groups.back()->commit(3);
        groups.back()->setLastResort(0, true);
    }
    const auto runAll = [&groups](Duration span) {
        std::size_t moving = 0;
        for (Duration passed{0}; passed < span; passed += milliseconds(20)) {
            moving = 0;
            for (const auto& group : groups) {
                group->run(milliseconds(20));
                moving += group->record().version.exists() ? 1 : 0;
            }
        }
        return moving;
    };
    UNSIGNED_LONGS_EQUAL(kMostInASecond, runAll(milliseconds(900)));
    UNSIGNED_LONGS_EQUAL(kGroups, runAll(seconds(4)));
    for (const auto& group : groups) {
        CHECK_FALSE(group->server(0).primary);
        UNSIGNED_LONGS_EQUAL(0, group->judge.violations().size());
    }
}

}  // namespace
}  // namespace coralhoist::pooled
