/** Responses that arrive after the proxy has learned of a promotion. */
#include <CppUTest/TestHarness.h>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LateAnswer) {
    PoolerFixture fixture;
    StoreVersion recordVersion{0, 10};

    void record(PromotionPhase phase, const std::string& successor, Term term,
                OpTime base = OpTime{}) {
        PromotionNotice notice;
        notice.phase = phase;
        notice.base = base;
        notice.successor = ServerName(successor);
        notice.term = term;
        ++recordVersion.revision;
        notice.version = recordVersion;
        fixture.pooler.applyNotice(fixture.group, notice);
    }

    /** Records the announcement of the successor, then the completion of the promotion. */
    void promote(const std::string& successor, Term term) {
        record(PromotionPhase::Promoting, successor, term);
        fixture.clock.advance(kLeadershipLease);
        record(PromotionPhase::None, successor, term);
        fixture.pooler.applyProof({fixture.clock.now(), {{fixture.group, recordVersion}}, 0});
    }

    bool isInDoubt(const RecordedReply& reply) const {
        return reply.result.error && reply.result.error->fault == StatementFault::InDoubt;
    }
};

TEST(LateAnswer, AWriteOfAFormerPrimaryIsInDoubt) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
    record(PromotionPhase::Promoting, "s2", 2);
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(isInDoubt(fixture.replies[0]));
    CHECK_TRUE(fixture.replies[0].result.state == SessionState::Idle);
}

TEST(LateAnswer, AWriteThatTheSuccessorHasSucceeds) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    record(PromotionPhase::Promoting, "s2", 2, {1, 101});
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(fixture.replies[0].result.succeeded());
}

TEST(LateAnswer, AWriteAboveTheLogOfTheSuccessorIsInDoubt) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    record(PromotionPhase::Promoting, "s2", 2, {1, 101});
    fixture.succeed({1, 102});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(isInDoubt(fixture.replies[0]));
}

TEST(LateAnswer, AWriteOfAnEarlierTermThanTheSuccessorsLogIsInDoubt) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    record(PromotionPhase::Promoting, "s2", 3, {2, 150});
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(isInDoubt(fixture.replies[0]));
}

TEST(LateAnswer, AWriteSentToTheSuccessorAfterItsAnnouncementSucceeds) {
    record(PromotionPhase::Promoting, "s2", 2, {1, 100});
    fixture.clock.advance(kLeadershipLease);
    record(PromotionPhase::None, "s2", 2, {1, 100});
    fixture.pooler.applyProof({fixture.clock.now(), {{fixture.group, recordVersion}}, 0});
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    STRCMP_EQUAL("s2", fixture.pending().server.value().c_str());
    // The record may name a term that the platform has not assigned.
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(fixture.replies[0].result.succeeded());
}

TEST(LateAnswer, ACommitOfAFormerPrimaryIsInDoubt) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    record(PromotionPhase::Promoting, "s2", 2);
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(3, fixture.replies.size());
    CHECK_TRUE(isInDoubt(fixture.replies[2]));
    CHECK_TRUE(fixture.replies[2].result.state == SessionState::Idle);
}

TEST(LateAnswer, AWriteOfAPrimaryThatHasLedAgainSinceIsInDoubt) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    promote("s2", 2);
    promote("s1", 3);
    fixture.succeed({1, 101});
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(isInDoubt(fixture.replies[0]));
}

TEST(LateAnswer, ATransactionThatOnlyReadSucceeds) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    record(PromotionPhase::Promoting, "s2", 2);
    fixture.succeed({1, 100});
    UNSIGNED_LONGS_EQUAL(3, fixture.replies.size());
    CHECK_TRUE(fixture.replies[2].result.succeeded());
}

TEST(LateAnswer, AReadOfAnEarlierTermProvesNothingAboutTheLogOfALaterTerm) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::BeginReadOnly, "BEGIN READ");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    // The proof has expired: another server may lead when the next read is sent.
    fixture.clock.advance(milliseconds(700));
    fixture.submit(session, StatementVerb::Read, "READ 2");
    promote("s2", 2);
    promote("s1", 3);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    fixture.acknowledge();
    // Without a position that covers the commits of term 2, a bounded read goes to the primary.
    fixture.submit(fixture.session("bounded"), StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
    CHECK_FALSE(fixture.pending().command.after.has_value());
}

}  // namespace
}  // namespace coralhoist::pooling
