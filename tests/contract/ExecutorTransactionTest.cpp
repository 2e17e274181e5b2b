/** Transactions, sessions and planned shutdown. */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ExecutorTransaction) {
    ExecutorFixture fixture;
    FakeBackend& backend = fixture.backend;

    TransactionId begin() {
        const RequestId id = fixture.submit("BEGIN", StatementKind::Begin);
        fixture.advance(milliseconds(20));
        CHECK_TRUE(fixture.isOver(id));
        CHECK_TRUE(fixture.answer(id).result->transaction.has_value());
        return *fixture.answer(id).result->transaction;
    }
    RequestId run(TransactionId transaction, const std::string& sql, StatementKind kind) {
        ExecutionRequest request = fixture.request(sql, kind);
        request.transaction = transaction;
        return fixture.submit(std::move(request));
    }
};

TEST(ExecutorTransaction, CommitIsAcknowledgedByAMajority) {
    const TransactionId transaction = begin();
    const RequestId update = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("[update]", fixture.answer(update).bytes.c_str());
    backend.statuses[kServerA].receivedPosition = 300;
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    fixture.advance(milliseconds(50));
    CHECK_FALSE(fixture.isOver(commit));
    backend.statuses[kServerC].receivedPosition = 300;
    fixture.advance(milliseconds(50));
    CHECK_TRUE(fixture.isOver(commit));
    CHECK_TRUE((fixture.answer(commit).result->observed == OpTime{1, 300}));
    CHECK_FALSE(fixture.answer(commit).result->transaction.has_value());
}

TEST(ExecutorTransaction, OfAnotherSessionIsNotReachable) {
    const TransactionId transaction = begin();
    fixture.session = SessionId(2);
    const RequestId id = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("25000", fixture.sqlState(id).c_str());
    CHECK_FALSE(fixture.answer(id).result->transaction.has_value());
    ExecutionRequest late = fixture.request("update", StatementKind::Write);
    late.transaction = transaction;
    late.deadline = fixture.clock.now();
    const RequestId refused = fixture.submit(std::move(late));
    CHECK_FALSE(fixture.answer(refused).result->transaction.has_value());
    CHECK_EQUAL(0, backend.countExecuted("update"));
    CHECK_EQUAL(1, fixture.executor->statistics().openTransactions);
}

TEST(ExecutorTransaction, KeepsItsConnectionFromOthers) {
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    fixture.session = SessionId(2);
    const RequestId other = fixture.submit("other", StatementKind::Write);
    fixture.advance(milliseconds(100));
    CHECK_TRUE(fixture.isOver(other));
    // The transaction still pins exactly one connection.
    int inTransaction = 0;
    for (const auto& [id, connection] : backend.connections) {
        inTransaction += connection.state == ConnectionState::InTransaction;
    }
    CHECK_EQUAL(1, inTransaction);
    CHECK_EQUAL(1, backend.countExecuted("other"));
}

TEST(ExecutorTransaction, LostConnectionMakesEveryStatementFailUntilItsEnd) {
    const TransactionId transaction = begin();
    backend.loseAll(kServerA);
    // The first statement gets the reason, the later ones only get the error that the transaction
    // is aborted.
    const RequestId first = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("08006", fixture.sqlState(first).c_str());
    CHECK_TRUE(fixture.answer(first).result->error->runState == RunState::RolledBack);
    const RequestId update = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("25P02", fixture.sqlState(update).c_str());
    CHECK_TRUE(fixture.answer(update).result->transactionStatus == TransactionStatus::Failed);
    const RequestId rollback = run(transaction, "ROLLBACK", StatementKind::Rollback);
    fixture.advance(seconds(1));
    STRCMP_EQUAL("", fixture.sqlState(rollback).c_str());
    CHECK_FALSE(fixture.answer(rollback).result->transaction.has_value());
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorTransaction, CommitLostAfterSendingIsUnknown) {
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    backend.heldStatements = {"COMMIT"};
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    backend.loseHeld("COMMIT", true);
    backend.unhold("COMMIT");
    STRCMP_EQUAL("08007", fixture.sqlState(commit).c_str());
}

TEST(ExecutorTransaction, IsRolledBackInsteadOfCommittedOnAReplacedPrimary) {
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    fixture.elect(kServerB, 2, {kServerC});
    fixture.advance(seconds(1));
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    STRCMP_EQUAL("40001", fixture.sqlState(commit).c_str());
    CHECK_EQUAL(0, backend.countExecuted("COMMIT"));
}

TEST(ExecutorTransaction, IdleForTooLongIsRolledBack) {
    const TransactionId transaction = begin();
    fixture.advance(seconds(11));
    CHECK_EQUAL(1, backend.countExecuted("ROLLBACK"));
    CHECK_EQUAL(1, fixture.executor->statistics().transactionsTimedOut);
    const RequestId update = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("25P03", fixture.sqlState(update).c_str());
    const RequestId again = run(transaction, "update", StatementKind::Write);
    STRCMP_EQUAL("25P02", fixture.sqlState(again).c_str());
}

TEST(ExecutorTransaction, CommitOfATransactionLostWhileIdleIsAnErrorAndNoSuccess) {
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    backend.loseAll(kServerA);
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    fixture.advance(seconds(1));
    STRCMP_EQUAL("08006", fixture.sqlState(commit).c_str());
    CHECK_FALSE(fixture.answer(commit).result->transaction.has_value());
}

TEST(ExecutorTransaction, SyncOfAnImplicitTransactionLostWhileIdleIsAnError) {
    ExecutionRequest first = fixture.request("update", StatementKind::Write);
    first.batch.end = BatchEnd::Flush;
    const RequestId flushed = fixture.submit(std::move(first));
    fixture.advance(milliseconds(20));
    backend.loseAll(kServerA);
    ExecutionRequest second = fixture.request("", StatementKind::Read);
    second.batch.steps.clear();
    second.transaction = fixture.answer(flushed).result->transaction;
    const RequestId synced = fixture.submit(std::move(second));
    fixture.advance(milliseconds(20));
    STRCMP_EQUAL("08006", fixture.sqlState(synced).c_str());
}

TEST(ExecutorTransaction, SyncRefusedBeforeItRanRollsBackTheImplicitTransaction) {
    ExecutionRequest first = fixture.request("update", StatementKind::Write);
    first.batch.end = BatchEnd::Flush;
    const RequestId flushed = fixture.submit(std::move(first));
    fixture.advance(milliseconds(20));
    ExecutionRequest second = fixture.request("", StatementKind::Read);
    second.batch.steps.clear();
    second.transaction = fixture.answer(flushed).result->transaction;
    second.deadline = fixture.clock.now();
    const RequestId synced = fixture.submit(std::move(second));
    fixture.advance(milliseconds(20));
    STRCMP_EQUAL("57014", fixture.sqlState(synced).c_str());
    CHECK_FALSE(fixture.answer(synced).result->transaction.has_value());
    CHECK_EQUAL(0, backend.countExecuted("COMMIT"));
    CHECK_EQUAL(1, backend.countExecuted("ROLLBACK"));
    CHECK_EQUAL(0, fixture.executor->statistics().openTransactions);
}

TEST(ExecutorTransaction, BatchSkippedByARefusedBeginIsAnError) {
    // Simulates a cancel request that cancels the BEGIN which the proxy puts before the batch.
    backend.answers["BEGIN"].kind = CommandOutcome::Kind::Failed;
    backend.answers["BEGIN"].sqlState = "57014";
    ExecutionRequest first = fixture.request("update", StatementKind::Write);
    first.batch.end = BatchEnd::Flush;
    backend.onExecute = [this](const ServerName&, const std::string& sql) {
        if (sql == "BEGIN") {
            for (auto& [id, connection] : backend.connections) {
                connection.state = ConnectionState::Idle;
            }
        }
    };
    const RequestId id = fixture.submit(std::move(first));
    fixture.advance(milliseconds(20));
    STRCMP_EQUAL("57014", fixture.sqlState(id).c_str());
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorTransaction, ConnectionThatALateCancelMayReachIsNotReused) {
    backend.heldStatements = {"slow"};
    const RequestId slow = fixture.submit("slow", StatementKind::Write);
    ConnectionId used;
    for (const auto& [id, connection] : backend.connections) {
        if (connection.held) {
            used = id;
        }
    }
    fixture.executor->cancel(slow);
    CHECK_EQUAL(1, backend.connections.at(used).cancels);
    backend.unhold("slow");
    fixture.advance(milliseconds(20));
    CHECK_TRUE(fixture.isOver(slow));
    CHECK_FALSE(backend.connections.contains(used));
}

TEST(ExecutorTransaction, TotalTimeBoundsARunningStatementButNotACommit) {
    fixture.service.transactionTimeout = seconds(2);
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    backend.heldStatements = {"COMMIT", "slow"};
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    fixture.advance(seconds(3));
    CHECK_FALSE(fixture.isOver(commit));
    backend.unhold("COMMIT");
    fixture.advance(seconds(1));
    STRCMP_EQUAL("", fixture.sqlState(commit).c_str());
    const TransactionId second = begin();
    const RequestId slow = run(second, "slow", StatementKind::Write);
    fixture.advance(seconds(3));
    STRCMP_EQUAL("25P04", fixture.sqlState(slow).c_str());
}

TEST(ExecutorTransaction, EndOfTheSessionRollsItBack) {
    begin();
    fixture.executor->endSession(fixture.session);
    fixture.advance(milliseconds(50));
    CHECK_EQUAL(1, backend.countExecuted("ROLLBACK"));
    CHECK_EQUAL(0, fixture.executor->statistics().openTransactions);
}

TEST(ExecutorTransaction, EndOfTheSessionDuringACommitGivesNoAnswer) {
    const TransactionId transaction = begin();
    run(transaction, "update", StatementKind::Write);
    backend.silent = {kServerB, kServerC};
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    fixture.executor->endSession(fixture.session);
    backend.silent.clear();
    fixture.advance(seconds(3));
    CHECK_EQUAL(0, fixture.answer(commit).completions);
    CHECK_EQUAL(0, fixture.executor->statistics().requestsInFlight);
}

TEST(ExecutorTransaction, ImplicitTransactionSpansBatchesAndCommitsAtSync) {
    ExecutionRequest first = fixture.request("update", StatementKind::Write);
    first.batch.end = BatchEnd::Flush;
    const RequestId flushed = fixture.submit(std::move(first));
    fixture.advance(milliseconds(20));
    CHECK_TRUE(fixture.isOver(flushed));
    CHECK_EQUAL(0, backend.countExecuted("COMMIT"));
    ExecutionRequest second = fixture.request("", StatementKind::Read);
    second.batch.steps.clear();
    second.transaction = fixture.answer(flushed).result->transaction;
    const RequestId synced = fixture.submit(std::move(second));
    fixture.advance(milliseconds(20));
    CHECK_TRUE(fixture.isOver(synced));
    CHECK_EQUAL(1, backend.countExecuted("COMMIT"));
    CHECK_TRUE(fixture.answer(synced).result->observed.has_value());
    CHECK_EQUAL(0, fixture.executor->statistics().openTransactions);
}

TEST(ExecutorTransaction, LeavingServerFinishesOpenTransactionsButAcceptsNoNewOnes) {
    const TransactionId transaction = begin();
    settings::GroupSettings settings = fixture.settings;
    settings.leavingServers = {kServerA};
    fixture.executor->applySettings(settings);
    const RequestId update = run(transaction, "update", StatementKind::Write);
    CHECK_TRUE(fixture.isOver(update));
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    const RequestId other = fixture.submit("other", StatementKind::Write);
    fixture.advance(milliseconds(100));
    CHECK_TRUE(fixture.isOver(commit));
    CHECK_FALSE(fixture.isOver(other));
}

TEST(ExecutorTransaction, DrainFinishesWhatIsOpenAndRefusesTheRest) {
    const TransactionId transaction = begin();
    fixture.executor->drain();
    const RequestId other = fixture.submit("other", StatementKind::Write);
    STRCMP_EQUAL("57P01", fixture.sqlState(other).c_str());
    CHECK_FALSE(fixture.executor->isDrained());
    const RequestId update = run(transaction, "update", StatementKind::Write);
    CHECK_TRUE(fixture.isOver(update));
    const RequestId commit = run(transaction, "COMMIT", StatementKind::Commit);
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("", fixture.sqlState(commit).c_str());
    CHECK_TRUE(fixture.executor->isDrained());
}

TEST(ExecutorTransaction, ConnectionWithForeignSessionStateIsResetBeforeReuse) {
    settings::GroupSettings settings = fixture.settings;
    settings.urgentReservedSlots = 0;
    fixture.executor->applySettings(settings);
    // Two data connections per server in addition to the status connection.
    fixture.executor->setConnectionShare({OwnerRole::Active, 3, 5});
    ExecutionRequest first = fixture.request("one", StatementKind::Write);
    first.sessionParameters = {{"search_path", "depot"}};
    fixture.submit(std::move(first));
    fixture.advance(milliseconds(20));
    // One unused connection is left, so a second statement without parameters must get the used
    // one.
    backend.heldStatements = {"two"};
    for (int count = 0; count < 2; ++count) {
        fixture.session = SessionId(static_cast<std::uint64_t>(10 + count));
        fixture.submit("two", StatementKind::Write);
    }
    fixture.advance(milliseconds(20));
    backend.unhold("two");
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(1, backend.countExecuted("DISCARD ALL"));
    CHECK_EQUAL(1, backend.countExecuted("SELECT set_config($1, $2, false)"));
}

}  // namespace
}  // namespace coralhoist::contract
