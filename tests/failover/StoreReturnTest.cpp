/** Promotions before and after the store is restored from an older copy. */
#include <CppUTest/TestHarness.h>

#include <chrono>

#include "FailoverFixture.h"
#include "failover/FailoverTiming.h"

namespace coralhoist::failover {
namespace {

using pooled::FailoverFixture;
using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Longer than nodes wait for their turns to write a record again. */
constexpr Duration kRestoreTime = milliseconds(400);

TEST_GROUP(PromotionStoreReturn) {
    FailoverFixture fixture{2};

    void setup() override {
        fixture.store.showEras();
        fixture.run(kTakeOverAfter + milliseconds(100));
        fixture.commit(10);
    }

    void crashPrimary() {
        fixture.group.crash(fixture.server(0));
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            fixture.suspect(node, SuspicionReason::Unreachable);
        }
    }

    void pauseReplicas() {
        fixture.server(1).heldTerm = 2;
        fixture.server(2).heldTerm = 2;
        fixture.store.returnOlder(seconds(5));
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            fixture.restart(node);
        }
        fixture.run(milliseconds(100));
    }

    void reportPausedReplicas(Duration span) {
        for (const TimePoint end = fixture.queue.now() + span; fixture.queue.now() < end;) {
            for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
                fixture.failover(node).onReceiversPaused(fixture.queue.now());
            }
            fixture.run(milliseconds(20));
        }
    }

    void promote() {
        crashPrimary();
        fixture.run(seconds(2));
        UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    }
};

TEST(PromotionStoreReturn, APromotionThatTheStoreHasLostIsWrittenAgain) {
    promote();
    const PromotionRecord before = fixture.record();
    fixture.store.returnOlder(seconds(5));
    CHECK_FALSE(fixture.record().version.exists());
    fixture.run(kRestoreTime);
    CHECK_TRUE(fixture.record().successor == before.successor);
    CHECK_TRUE(fixture.record().base == before.base);
    UNSIGNED_LONGS_EQUAL(before.term, fixture.record().term);
    UNSIGNED_LONGS_EQUAL(2, fixture.record().writtenIn);
}

/** A promotion that was lost after the restored one may have another leader. */
TEST(PromotionStoreReturn, ARecordThatWasWrittenAgainProvesNoLeadershipByItself) {
    promote();
    CHECK_TRUE(fixture.record().isConfirmedIn(1));
    fixture.store.returnOlder(seconds(5));
    fixture.run(kRestoreTime);
    CHECK_FALSE(fixture.record().isConfirmedIn(2));
    CHECK_FALSE(fixture.failover(0).notice().isConfirmed);
}

TEST(PromotionStoreReturn, NoNodePromotesUntilALostClaimCanHaveNoEffect) {
    fixture.store.returnOlder(milliseconds(100));
    fixture.run(milliseconds(20));
    crashPrimary();
    fixture.run(kTakeOverAfter - milliseconds(100));
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(3));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/**
 * The promoting node has announced a successor and is about to call; other nodes may claim without
 * knowing of the announcement.
 */
TEST(PromotionStoreReturn, APromoterGivesUpWhenTheStoreReturnsOlder) {
    crashPrimary();
    for (int step = 0; step < 400 && fixture.record().phase != PromotionPhase::Promoting; ++step) {
        fixture.run(milliseconds(2));
    }
    fixture.store.returnOlder(seconds(5));
    fixture.run(milliseconds(30));
    const std::uint64_t promotions = fixture.group.promotions();
    for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
        CHECK_TRUE(fixture.failover(node).isIdle());
    }
    fixture.run(kTakeOverAfter - milliseconds(200));
    UNSIGNED_LONGS_EQUAL(promotions, fixture.group.promotions());
}

/** The copy has the node's claim, but not its later announcement. */
TEST(PromotionStoreReturn, APromoterGivesUpThoughTheStoreStillHasItsClaim) {
    crashPrimary();
    const auto runUntil = [this](PromotionPhase phase) {
        for (int step = 0; step < 2000 && fixture.record().phase != phase; ++step) {
            fixture.run(milliseconds(1));
        }
        CHECK_TRUE(fixture.record().phase == phase);
        return fixture.queue.now();
    };
    const TimePoint claimed = runUntil(PromotionPhase::Preparing);
    const TimePoint announced = runUntil(PromotionPhase::Promoting);
    fixture.store.returnOlder(announced - claimed);
    CHECK_TRUE(fixture.record().phase == PromotionPhase::Preparing);
    fixture.run(kTakeOverAfter - milliseconds(200));
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
}

/**
 * The store names the leader of term 2 again. The leader of term 3 and the replica that has its
 * commits do not respond, and the node has started since. The log of the leader of term 2 proves
 * nothing.
 */
TEST(PromotionStoreReturn, ARecordThatReturnedOlderNamesNoNewestLeader) {
    promote();
    fixture.group.restart(fixture.server(0));
    fixture.run(seconds(4));
    const TimePoint firstPromoted = fixture.queue.now();
    pooled::LogServer& formerLeader = fixture.server(fixture.server(1).primary ? 1 : 2);
    fixture.group.crash(formerLeader);
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(4));
    UNSIGNED_LONGS_EQUAL(2, fixture.group.promotions());
    formerLeader.deaf = true;
    fixture.group.restart(formerLeader);
    fixture.commit(20);
    fixture.store.returnOlder(fixture.queue.now() - firstPromoted);
    for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
        fixture.restart(node);
        for (const auto& server : fixture.group.servers()) {
            if (server.get() != &formerLeader) {
                fixture.nodes[node].connector->faults().cut.insert(server->name);
            }
        }
    }
    for (int second = 0; second < 9; ++second) {
        fixture.suspect(0, SuspicionReason::Unreachable);
        fixture.run(seconds(1));
    }
    UNSIGNED_LONGS_EQUAL(2, fixture.group.promotions());
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/** The claim of the promotion is lost, and all nodes that knew of it have ended. */
TEST(PromotionStoreReturn, AReplicaThatALostPromotionHasPausedReceivesAgain) {
    pauseReplicas();
    // The holder of the lost claim may still call the promotion.
    reportPausedReplicas(kTakeOverAfter - milliseconds(100));
    UNSIGNED_LONGS_EQUAL(0, fixture.group.promotions());
    CHECK_FALSE(fixture.record().version.exists());
    reportPausedReplicas(seconds(1));
    fixture.run(seconds(2));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    CHECK_TRUE(fixture.record().phase == PromotionPhase::None);
    const std::size_t before = fixture.judge.acknowledged();
    fixture.commit(10);
    UNSIGNED_LONGS_EQUAL(before + 10, fixture.judge.acknowledged());
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/** The lost promotion had a later base than any record, so the leader's log is the reference. */
TEST(PromotionStoreReturn, AfterALostPromotionNoServerLeadsWithoutTheLeadersLog) {
    fixture.server(2).deaf = true;
    fixture.commit(10);
    fixture.group.crash(fixture.server(1));
    fixture.group.leave(fixture.server(1));
    // After this time the server counts as gone together with its log.
    fixture.run(seconds(11));
    fixture.server(2).heldTerm = 2;
    fixture.store.returnOlder(seconds(5));
    reportPausedReplicas(seconds(6));
    UNSIGNED_LONGS_EQUAL(1, fixture.group.promotions());
    CHECK_FALSE(fixture.server(2).primary);
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

TEST(PromotionStoreReturn, FencesRiseThoughRevisionsAreGivenOutAgain) {
    promote();
    const std::uint64_t before = fixture.record().version.token();
    fixture.store.returnOlder(seconds(5));
    fixture.run(kRestoreTime);
    CHECK_TRUE(fixture.record().version.token() > before);
}

TEST(PromotionStoreReturn, TheKnownRecordIsLaterThanAnOlderCopyAndThanAClaimMadeWithoutIt) {
    PromotionRecord known;
    known.writtenIn = 1;
    known.term = 4;
    known.renewals = 13;
    PromotionRecord copy = known;
    copy.term = 3;
    copy.renewals = 10;
    CHECK_TRUE(isLater(known, copy));
    CHECK_FALSE(isLater(copy, known));
    PromotionRecord claim = copy;
    claim.writtenIn = 2;
    claim.phase = PromotionPhase::Preparing;
    CHECK_TRUE(isLater(known, claim));
    claim.phase = PromotionPhase::None;
    CHECK_FALSE(isLater(known, claim));
    // The other record is a write of the earlier era that was carried out late.
    CHECK_TRUE(isLater(claim, known));
}

}  // namespace
}  // namespace coralhoist::failover
