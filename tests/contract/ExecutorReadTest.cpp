/** Read floors, guard queries and back-pressure of reads. */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ExecutorRead) {
    ExecutorFixture fixture;
    FakeBackend& backend = fixture.backend;

    RequestId read(std::optional<OpTime> token = std::nullopt) {
        ExecutionRequest request = fixture.request("select", StatementKind::Read);
        request.floor = token;
        return fixture.submit(std::move(request));
    }
};

TEST(ExecutorRead, IsServedByAReplicaThatHasEverythingAcknowledged) {
    const RequestId id = read();
    fixture.advance(milliseconds(20));
    STRCMP_EQUAL("[select]", fixture.answer(id).bytes.c_str());
    CHECK_TRUE(fixture.answer(id).result->servedByReplica);
}

TEST(ExecutorRead, WithoutTokenSeesAWriteAcknowledgedElsewhereJustBefore) {
    // A write of another proxy was acknowledged by a and b; c lags, and the last sample is
    // outdated.
    backend.statuses[kServerA] = {false, 1, 200, 200};
    backend.statuses[kServerB] = {true, 1, 200, 200};
    const RequestId id = read();
    fixture.advance(milliseconds(20));
    CHECK_TRUE(fixture.isOver(id));
    CHECK_TRUE(backend.lastServerOf("select") == kServerB);
}

TEST(ExecutorRead, LeavesAReplicaThatHasReceivedButNotReplayed) {
    for (const ServerName& server : {kServerB, kServerC}) {
        backend.statuses[server] = {true, 1, 200, 100};
    }
    backend.statuses[kServerA] = {false, 1, 200, 200};
    const RequestId id = read();
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("[select]", fixture.answer(id).bytes.c_str());
    CHECK_FALSE(fixture.answer(id).result->servedByReplica);
    CHECK_EQUAL(1, fixture.executor->statistics().guardFailures);
}

TEST(ExecutorRead, TokenSkipsTheSample) {
    const auto before = fixture.executor->statistics().statusSamples;
    const RequestId id = read(OpTime{1, 100});
    CHECK_TRUE(fixture.isOver(id));
    CHECK_EQUAL(before, fixture.executor->statistics().statusSamples);
}

TEST(ExecutorRead, TokenFromTheFutureIsRefused) {
    const RequestId id = read(OpTime{1, 5000});
    fixture.advance(milliseconds(100));
    STRCMP_EQUAL("22023", fixture.sqlState(id).c_str());
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
}

TEST(ExecutorRead, OfThePrimaryIsNotServedByAFormerPrimary) {
    fixture.service.readRouting = settings::ReadRouting::Primary;
    // The sample shows term 2 on b and c, while a still reports itself as primary.
    fixture.elect(kServerB, 2, {kServerC});
    const RequestId id = read();
    fixture.advance(milliseconds(100));
    STRCMP_EQUAL("[select]", fixture.answer(id).bytes.c_str());
    CHECK_TRUE(backend.lastServerOf("select") == kServerB);
}

TEST(ExecutorRead, WaitsWithoutAMajorityAndIsThenRefusedAsNotRun) {
    backend.silent = {kServerB, kServerC};
    const RequestId id = read();
    fixture.advance(seconds(11));
    STRCMP_EQUAL("57P03", fixture.sqlState(id).c_str());
    CHECK_EQUAL(0, backend.countExecuted("select"));
}

TEST(ExecutorRead, ThatAcceptsStalenessGetsNoOlderDataEvenWhenLagIsUnknown) {
    fixture.service.maxStaleness = milliseconds(400);
    read();
    fixture.advance(milliseconds(20));
    const auto samples = fixture.executor->statistics().statusSamples;
    const RequestId early = read();
    CHECK_TRUE(fixture.isOver(early));
    CHECK_EQUAL(samples, fixture.executor->statistics().statusSamples);
    // Both replicas stop replicating while the primary advances; after 400 ms only the primary may
    // serve the read.
    backend.statuses[kServerA] = {false, 1, 900, 900};
    fixture.advance(milliseconds(450));
    backend.statuses[kServerB].receivedPosition = 900;
    const RequestId late = read();
    fixture.advance(milliseconds(50));
    CHECK_TRUE(fixture.isOver(late));
    CHECK_FALSE(fixture.answer(late).result->servedByReplica);
}

TEST(ExecutorRead, ThatTurnsOutToBeAWriteMovesToThePrimaryAndIsAcknowledged) {
    CommandOutcome refusal;
    refusal.kind = CommandOutcome::Kind::Failed;
    refusal.sqlState = "25006";
    backend.onExecute = [this, refusal](const ServerName& server, const std::string& sql) {
        if (server == kServerA) {
            backend.answers.erase(sql);
        } else {
            backend.answers[sql] = refusal;
        }
    };
    const RequestId id = read();
    fixture.advance(milliseconds(50));
    CHECK_EQUAL(2, backend.countExecuted("select"));
    STRCMP_EQUAL("[select]", fixture.answer(id).bytes.c_str());
    CHECK_TRUE(backend.lastServerOf("select") == kServerA);
    CHECK_TRUE(fixture.answer(id).result->observed.has_value());
}

TEST(ExecutorRead, IsRepeatedAfterALossWhileNothingWasDelivered) {
    backend.heldStatements = {"select"};
    const RequestId id = read();
    fixture.advance(milliseconds(10));
    backend.loseHeld("select", true);
    backend.unhold("select");
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("[select]", fixture.answer(id).bytes.c_str());
}

TEST(ExecutorRead, LateResponseOfAnAbandonedReadIsDiscarded) {
    backend.heldStatements = {"select"};
    const RequestId id = read();
    fixture.advance(seconds(11));
    STRCMP_EQUAL("57014", fixture.sqlState(id).c_str());
    fixture.session = SessionId(2);
    const RequestId other = fixture.submit("other", StatementKind::Read);
    backend.unhold("select");
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
    STRCMP_EQUAL("[other]", fixture.answer(other).bytes.c_str());
    CHECK_EQUAL(1, fixture.answer(id).completions);
}

TEST(ExecutorRead, SlowSinkStopsTheBackEndAndLosesNothing) {
    read();
    fixture.advance(milliseconds(20));
    fixture.sink.accepts = false;
    backend.heldStatements = {"select"};
    const RequestId id = read();
    fixture.advance(milliseconds(20));
    ConnectionId connection;
    for (const auto& [candidate, state] : backend.connections) {
        if (state.held) {
            connection = candidate;
        }
    }
    const std::string chunk(200000, 'x');
    // The segment of the guard query precedes the statement.
    CommandOutcome guard;
    guard.rows.push_back({{"t", "1", "100", "100"}});
    fixture.executor->onCommandEnded(connection, 0, guard);
    for (int count = 0; count < 3; ++count) {
        fixture.executor->onForwardBytes(connection, 1, chunk);
    }
    CHECK_FALSE(backend.connections.at(connection).reading);
    CHECK_EQUAL(chunk.size(), fixture.answer(id).bytes.size());
    fixture.sink.accepts = true;
    fixture.executor->resume(id);
    CHECK_TRUE(backend.connections.at(connection).reading);
    CHECK_EQUAL(3 * chunk.size(), fixture.answer(id).bytes.size());
}

TEST(ExecutorRead, CancelledWhileWaitingDidNotRun) {
    backend.silent = {kServerB, kServerC};
    const RequestId id = read();
    fixture.executor->cancel(id);
    STRCMP_EQUAL("57014", fixture.sqlState(id).c_str());
    backend.silent.clear();
    fixture.advance(seconds(3));
    CHECK_EQUAL(0, backend.countExecuted("select"));
}

}  // namespace
}  // namespace coralhoist::contract
