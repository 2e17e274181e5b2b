/**
 * Commits need proof that the primary led when it acknowledged them.
 *
 * A node that hears neither of the store nor of other nodes may write to a primary that is being
 * replaced. A replica that has restarted receives from that primary again, so that commits succeed
 * which the successor lacks.
 */
#include <CppUTest/TestHarness.h>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(UnprovenCommit) {
    PoolerFixture fixture;

    void prove() {
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    }

    void writeBeforeTheLeaseExpires() {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
        UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
        fixture.advance(kLeadershipLease + milliseconds(1));
    }
};

/** Guards against writes that are sent without any proof that the primary leads. */
TEST(UnprovenCommit, AWriteIsSentOnceItsPrimaryIsProven) {
    fixture.advance(kLeadershipLease + milliseconds(1));
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    prove();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

/** Guards against a commit that is passed on although a promotion may have preceded it. */
TEST(UnprovenCommit, ACommitThatOutlivesTheLeaseAwaitsAProof) {
    writeBeforeTheLeaseExpires();
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().commitsHeld);
    prove();
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(fixture.replies[0].result.succeeded());
}

/** Guards against a held commit that is reported as kept or as not run. */
TEST(UnprovenCommit, ACommitWithoutAProofIsInDoubtAtItsDeadline) {
    writeBeforeTheLeaseExpires();
    fixture.succeed({1, 101});
    fixture.advance(milliseconds(800));
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(fixture.replies[0].result.error->fault == StatementFault::InDoubt);
}

/** Guards against a wait for a proof where the announcement shows that the commit is kept. */
TEST(UnprovenCommit, AnAnnouncementDecidesAHeldCommit) {
    for (const LogPosition base : {101, 100}) {
        PoolerFixture one;
        one.submit(one.session("current"), StatementVerb::Write, "WRITE 1 a");
        one.advance(kLeadershipLease + milliseconds(1));
        one.succeed({1, 101});
        PromotionNotice notice{PromotionPhase::Promoting, ServerName("s2"), 2, {0, 7}, {1, base}};
        one.pooler.applyNotice(one.group, notice);
        UNSIGNED_LONGS_EQUAL(1, one.replies.size());
        CHECK_EQUAL(base == 101, one.replies[0].result.succeeded());
    }
}

/** Guards against reads at a former primary that commits through a restarted replica. */
TEST(UnprovenCommit, ACommitProvesNoLeadershipToReads) {
    fixture.advance(milliseconds(400));
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    fixture.succeed({1, 101});
    fixture.advance(milliseconds(200));
    fixture.submit(fixture.session("current"), StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

/** Guards against a wait at a successor that was announced after all leases had expired. */
TEST(UnprovenCommit, ASuccessorAnnouncedAfterTheLeasesIsWrittenToAtOnce) {
    PromotionNotice notice{PromotionPhase::Promoting, ServerName("s2"), 2, {0, 7}, {1, 100}};
    notice.leasesExpired = true;
    fixture.pooler.applyNotice(fixture.group, notice);
    fixture.announce("s2", 2);
    notice.phase = PromotionPhase::None;
    notice.version = {0, 8};
    fixture.pooler.applyNotice(fixture.group, notice);
    fixture.pooler.applyProof({fixture.clock.now(), {{fixture.group, notice.version}}, 0});
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

}  // namespace
}  // namespace coralhoist::pooling
