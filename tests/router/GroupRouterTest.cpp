#include <CppUTest/TestHarness.h>

#include "tests/router/RouterFixture.h"

namespace coralhoist {
namespace {

using contract::BatchEnd;
using contract::Refusal;
using contract::RunState;
using contract::StatementKind;
using contract::TransactionStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::RouterFixture;

TEST_GROUP(GroupRouter) {
    RouterFixture fixture;

    /** Begins a transaction of session 1 on node a. */
    void beginOnA() {
        fixture.submit(fixture.request(1, StatementKind::Begin));
        fixture.last("a").complete(testing::openTransaction(5));
    }
    contract::ExecutionRequest inTransaction(std::uint64_t id, StatementKind kind) {
        contract::ExecutionRequest request = fixture.request(id, kind);
        request.session = SessionId(1);
        request.transaction = TransactionId(5);
        return request;
    }
    std::size_t submissions(const std::string& node) {
        return fixture.at(node).submissions.size();
    }
    const testing::RecordingSink::Answer& answer(std::uint64_t id) {
        return fixture.sink.answers[id];
    }
    void checkRefused(std::uint64_t id, Refusal refusal) {
        CHECK_EQUAL(1, answer(id).completions);
        CHECK_TRUE(answer(id).result.error.has_value());
        STRCMP_EQUAL(contract::makeError(refusal).message.c_str(),
                     answer(id).result.error->message.c_str());
    }
};

TEST(GroupRouter, AsksOwnersInTheOrderOfTheDirectory) {
    fixture.ownerList = {NodeName("a"), NodeName("self")};
    fixture.submit(fixture.request(1, StatementKind::Write));
    LONGS_EQUAL(1, submissions("a"));
    LONGS_EQUAL(0, submissions("self"));
    fixture.ownerList = {NodeName("self"), NodeName("a")};
    fixture.submit(fixture.request(2, StatementKind::Write));
    LONGS_EQUAL(1, submissions("self"));
    fixture.unknownNodes = {"self"};
    fixture.submit(fixture.request(3, StatementKind::Write));
    LONGS_EQUAL(2, submissions("a"));
}

TEST(GroupRouter, AsksTheStandbyOnThisNodeWhenTheActiveOwnerIsUnreachable) {
    fixture.ownerList = {NodeName("a"), NodeName("self")};
    fixture.submit(fixture.request(1, StatementKind::Write));
    fixture.fail("a", Refusal::OwnerUnreachable);
    LONGS_EQUAL(1, submissions("self"));
}

TEST(GroupRouter, TriesTheNextOwnerWhenANodeIsNotAnOwner) {
    fixture.submit(fixture.request(1, StatementKind::Write));
    fixture.fail("a", Refusal::NotOwner);
    fixture.last("b").complete();
    LONGS_EQUAL(1, answer(1).completions);
    CHECK_FALSE(answer(1).result.error.has_value());
}

TEST(GroupRouter, WaitsForAnOwnerUntilOneAppears) {
    fixture.submit(fixture.request(1, StatementKind::Write));
    fixture.fail("a", Refusal::OwnerUnreachable);
    fixture.fail("b", Refusal::NotOwner);
    LONGS_EQUAL(0, answer(1).completions);
    LONGS_EQUAL(1, fixture.router.waitingCount());
    fixture.ownerList = {NodeName("c")};
    fixture.router.onOwnersChanged();
    fixture.last("c").complete();
    LONGS_EQUAL(1, answer(1).completions);
    LONGS_EQUAL(0, fixture.router.waitingCount());
}

TEST(GroupRouter, RefusesAsNotRunAtTheDeadlineWhenNoOwnerAcceptedTheBatch) {
    fixture.unknownNodes = {"a", "b"};
    fixture.submit(fixture.request(1, StatementKind::Write, seconds(2)));
    fixture.advance(milliseconds(1999));
    LONGS_EQUAL(0, answer(1).completions);
    fixture.advance(milliseconds(1));
    checkRefused(1, Refusal::OwnerUnreachable);
    CHECK_TRUE(fixture.sink.error(1).runState == RunState::NotRun);
}

TEST(GroupRouter, BoundsTheWaitingBatches) {
    contract::RouterKnobs knobs;
    knobs.waitingLimit = 1;
    RouterFixture small(knobs);
    small.ownerList.clear();
    small.submit(small.request(1, StatementKind::Write));
    small.submit(small.request(2, StatementKind::Write));
    LONGS_EQUAL(0, small.sink.answers[1].completions);
    LONGS_EQUAL(1, small.sink.answers[2].completions);
    CHECK_TRUE(small.sink.error(2).runState == RunState::NotRun);
}

TEST(GroupRouter, NeverRepeatsAWriteWithoutKeyThatMayHaveRun) {
    fixture.submit(fixture.request(1, StatementKind::Write));
    fixture.loseAnswer("a", Refusal::OutcomeUnknown);
    checkRefused(1, Refusal::OutcomeUnknown);
    LONGS_EQUAL(0, submissions("b"));
}

TEST(GroupRouter, RepeatsAWriteWithKeyAndNeverReportsItAsNotRunAfterwards) {
    contract::ExecutionRequest request = fixture.request(1, StatementKind::Write, seconds(1));
    request.requestKey = "key";
    fixture.submit(request);
    fixture.loseAnswer("a", Refusal::OutcomeUnknown);
    LONGS_EQUAL(1, submissions("b"));
    fixture.ownerList.clear();
    fixture.fail("b", Refusal::NotOwner);
    fixture.advance(seconds(1));
    checkRefused(1, Refusal::OutcomeUnknown);
    CHECK_TRUE(fixture.sink.error(1).runState == RunState::Unknown);
}

TEST(GroupRouter, MovesARepeatableBatchAwayFromAnUnresponsiveOwner) {
    fixture.submit(fixture.request(1, StatementKind::Read));
    fixture.submit(fixture.request(2, StatementKind::Write));
    fixture.advance(seconds(2));
    LONGS_EQUAL(1, submissions("b"));
    LONGS_EQUAL(1, fixture.at("a").ended.size());
    CHECK_TRUE(fixture.at("a").ended[0] == SessionId(1));
    fixture.last("b").complete();
    LONGS_EQUAL(1, answer(1).completions);
    LONGS_EQUAL(0, answer(2).completions);
}

TEST(GroupRouter, KeepsWaitingForAnUnresponsiveOwnerWhenThereIsNoOther) {
    fixture.ownerList = {NodeName("a")};
    fixture.submit(fixture.request(1, StatementKind::Read));
    fixture.advance(seconds(9));
    LONGS_EQUAL(0, fixture.at("a").ended.size());
    LONGS_EQUAL(0, answer(1).completions);
}

TEST(GroupRouter, DoesNotRepeatAReadAfterAPartialResponse) {
    fixture.submit(fixture.request(1, StatementKind::Read));
    fixture.last("a").send("row");
    fixture.advance(seconds(5));
    LONGS_EQUAL(0, submissions("b"));
    fixture.loseAnswer("a", Refusal::ResultInterrupted);
    checkRefused(1, Refusal::ResultInterrupted);
    LONGS_EQUAL(0, submissions("b"));
}

TEST(GroupRouter, StopsRepeatingWhenTheRetryBudgetIsSpent) {
    contract::RouterKnobs knobs;
    knobs.retryPercent = 0;
    knobs.retryBurst = 2;
    RouterFixture small(knobs);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        small.submit(small.request(id, StatementKind::Read));
        small.loseAnswer("a", Refusal::ResultInterrupted);
    }
    LONGS_EQUAL(2, small.at("b").submissions.size());
    LONGS_EQUAL(1, small.sink.answers[3].completions);
}

TEST(GroupRouter, KeepsATransactionWhereItBeganWhenOwnersChange) {
    beginOnA();
    fixture.ownerList = {NodeName("b")};
    fixture.router.onOwnersChanged();
    fixture.submit(inTransaction(2, StatementKind::Write));
    fixture.last("a").complete(testing::openTransaction(5));
    fixture.submit(inTransaction(3, StatementKind::Commit));
    fixture.last("a").complete();
    LONGS_EQUAL(3, submissions("a"));
    contract::ExecutionRequest next = fixture.request(4, StatementKind::Read);
    next.session = SessionId(1);
    fixture.submit(next);
    LONGS_EQUAL(1, submissions("b"));
    CHECK_TRUE(fixture.at("a").ended.back() == SessionId(1));
}

TEST(GroupRouter, RefusesStatementsAfterALostTransactionUntilItsEnd) {
    beginOnA();
    fixture.submit(inTransaction(2, StatementKind::Write));
    fixture.fail("a", Refusal::TransactionConnectionLost);
    checkRefused(2, Refusal::TransactionConnectionLost);
    CHECK_TRUE(answer(2).result.transactionStatus == TransactionStatus::Failed);
    CHECK_TRUE(answer(2).result.transaction == TransactionId(5));
    fixture.submit(inTransaction(3, StatementKind::Write));
    checkRefused(3, Refusal::TransactionAborted);
    LONGS_EQUAL(2, submissions("a"));
    fixture.submit(inTransaction(4, StatementKind::Commit));
    CHECK_TRUE(fixture.last("a").request.batch.steps[0].kind == StatementKind::Rollback);
    CHECK_FALSE(fixture.last("a").request.transaction.has_value());
    fixture.last("a").complete();
    CHECK_FALSE(answer(4).result.error.has_value());
}

TEST(GroupRouter, AnswersTheRollbackOfALostTransactionThroughAnyOwner) {
    beginOnA();
    fixture.submit(inTransaction(2, StatementKind::Rollback));
    fixture.unknownNodes = {"a"};
    fixture.fail("a", Refusal::TransactionConnectionLost);
    LONGS_EQUAL(1, submissions("b"));
    CHECK_FALSE(fixture.last("b").request.transaction.has_value());
    fixture.last("b").complete();
    CHECK_FALSE(answer(2).result.error.has_value());
}

TEST(GroupRouter, LeavesNoTransactionBehindAnUnknownCommit) {
    beginOnA();
    fixture.submit(inTransaction(2, StatementKind::Commit));
    fixture.loseAnswer("a", Refusal::OutcomeUnknown);
    checkRefused(2, Refusal::OutcomeUnknown);
    CHECK_FALSE(answer(2).result.transaction.has_value());
    LONGS_EQUAL(0, submissions("b"));
}

TEST(GroupRouter, EndsALostImplicitTransactionAtSync) {
    contract::ExecutionRequest first = fixture.request(1, StatementKind::Write);
    first.batch.end = BatchEnd::Flush;
    fixture.submit(first);
    contract::ExecutionResult open = testing::openTransaction(5);
    open.transactionStatus = TransactionStatus::Idle;
    fixture.last("a").complete(open);
    contract::ExecutionRequest second = inTransaction(2, StatementKind::Write);
    second.batch.end = BatchEnd::Flush;
    fixture.submit(second);
    fixture.fail("a", Refusal::TransactionConnectionLost);
    CHECK_TRUE(answer(2).result.transaction.has_value());
    contract::ExecutionRequest sync = inTransaction(3, StatementKind::Read);
    sync.batch.steps.clear();
    fixture.submit(sync);
    CHECK_FALSE(answer(3).result.error.has_value());
    CHECK_FALSE(answer(3).result.transaction.has_value());
    LONGS_EQUAL(2, submissions("a"));
}

TEST(GroupRouter, RemovesTheStateOfAnEndedSession) {
    fixture.ownerList.clear();
    fixture.submit(fixture.request(1, StatementKind::Read));
    fixture.router.endSession(SessionId(1));
    fixture.ownerList = {NodeName("a")};
    fixture.router.onOwnersChanged();
    fixture.advance(seconds(20));
    LONGS_EQUAL(0, submissions("a"));
    LONGS_EQUAL(0, answer(1).completions);
    LONGS_EQUAL(0, fixture.router.waitingCount());
}

TEST(GroupRouter, CancelsABatchThatWaits) {
    fixture.ownerList.clear();
    fixture.submit(fixture.request(1, StatementKind::Write));
    fixture.router.cancel(RequestId(1));
    checkRefused(1, Refusal::CancelledBeforeRun);
    fixture.ownerList = {NodeName("a")};
    fixture.submit(fixture.request(2, StatementKind::Write));
    fixture.router.cancel(RequestId(2));
    LONGS_EQUAL(1, fixture.at("a").cancelled.size());
}

}  // namespace
}  // namespace coralhoist
