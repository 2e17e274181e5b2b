/** Requests with a request key. */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"
#include "contract/RequestKeyRecord.h"
#include "contract/RequestKeySql.h"

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ExecutorKey) {
    ExecutorFixture fixture;
    FakeBackend& backend = fixture.backend;

    ExecutionRequest keyed(const std::string& sql, StatementKind kind = StatementKind::Write) {
        ExecutionRequest request = fixture.request(sql, kind);
        request.requestKey = "key-1";
        return request;
    }
    void fails(const std::string& sql, const std::string& sqlState) {
        CommandOutcome outcome;
        outcome.kind = CommandOutcome::Kind::Failed;
        outcome.sqlState = sqlState;
        backend.answers[sql] = outcome;
    }
    void recorded(const std::string& fingerprint, const std::optional<std::string>& outcome) {
        CommandOutcome select;
        select.rows.push_back({{fingerprint, outcome}});
        backend.answers[kSelectRequestKey] = select;
    }
};

TEST(ExecutorKey, StoresKeyAndOutcomeInTheTransactionOfTheWrite) {
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("[update]", fixture.answer(id).bytes.c_str());
    std::vector<std::string> order;
    for (const FakeBackend::Executed& one : backend.executed) {
        order.push_back(one.sql);
    }
    const std::vector<std::string> expected = {"BEGIN", kInsertRequestKey, "update", kRecordOutcome,
                                               "COMMIT"};
    CHECK_TRUE(order == expected);
}

TEST(ExecutorKey, RepeatIsAnsweredFromTheRecordAndDoesNotRun) {
    fails(kInsertRequestKey, "23505");
    const ExecutionRequest request = keyed("update");
    recorded(fingerprintOf(request.batch), encodeOutcome({{0, "recorded answer", true}}));
    const RequestId id = fixture.submit(request);
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("recorded answer", fixture.answer(id).bytes.c_str());
    CHECK_EQUAL(0, backend.countExecuted("update"));
    CHECK_EQUAL(1, fixture.executor->statistics().answeredFromRecord);
}

TEST(ExecutorKey, RecordIsNotTrustedBeforeAMajorityHasIt) {
    fails(kInsertRequestKey, "23505");
    const ExecutionRequest request = keyed("update");
    recorded(fingerprintOf(request.batch), encodeOutcome({{0, "recorded answer", true}}));
    backend.statuses[kServerA].receivedPosition = 700;
    const RequestId id = fixture.submit(request);
    fixture.advance(milliseconds(100));
    CHECK_FALSE(fixture.isOver(id));
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
    backend.statuses[kServerB].receivedPosition = 700;
    fixture.advance(milliseconds(20));
    STRCMP_EQUAL("recorded answer", fixture.answer(id).bytes.c_str());
}

TEST(ExecutorKey, OfADifferentStatementIsRefused) {
    fails(kInsertRequestKey, "23505");
    recorded("fingerprint of another", encodeOutcome({{0, "secret", true}}));
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("22023", fixture.sqlState(id).c_str());
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorKey, UnknownCommitIsResolvedOnTheNewPrimary) {
    backend.heldStatements = {kRecordOutcome};
    const ExecutionRequest request = keyed("update");
    const RequestId id = fixture.submit(request);
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(1, backend.countExecuted("update"));
    // The primary crashes while the COMMIT is in flight; the new primary turns out to have the key.
    backend.refusing = {kServerA};
    backend.silent = {kServerA};
    backend.heldStatements.clear();
    backend.loseAll(kServerA);
    fails(kInsertRequestKey, "23505");
    recorded(fingerprintOf(request.batch), encodeOutcome({{0, "recorded answer", true}}));
    fixture.elect(kServerB, 2, {kServerC});
    fixture.advance(seconds(2));
    STRCMP_EQUAL("recorded answer", fixture.answer(id).bytes.c_str());
    CHECK_EQUAL(1, backend.countExecuted("update"));
    CHECK_TRUE(backend.lastServerOf(kSelectRequestKey) == kServerB);
}

TEST(ExecutorKey, UnresolvedCommitIsReportedAsUnknown) {
    backend.heldStatements = {kRecordOutcome};
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(20));
    backend.silent = {kServerA, kServerB, kServerC};
    backend.heldStatements.clear();
    backend.loseAll(kServerA);
    fixture.advance(seconds(11));
    STRCMP_EQUAL("08007", fixture.sqlState(id).c_str());
}

TEST(ExecutorKey, FailureOfTheRepeatDoesNotHideThatTheFirstMayHaveCommitted) {
    backend.heldStatements = {kRecordOutcome};
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(20));
    backend.loseHeld(kRecordOutcome, true);
    fails(kInsertRequestKey, "42501");
    fixture.advance(milliseconds(200));
    STRCMP_EQUAL("08007", fixture.sqlState(id).c_str());
}

TEST(ExecutorKey, MissingTableIsCreatedOnce) {
    fails(kInsertRequestKey, "42P01");
    backend.onExecute = [this](const ServerName&, const std::string& sql) {
        if (sql == kCreateRequestKeyTable) {
            backend.answers.erase(kInsertRequestKey);
        }
    };
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("[update]", fixture.answer(id).bytes.c_str());
    CHECK_EQUAL(1, backend.countExecuted(kCreateRequestKeyTable));
    CHECK_EQUAL(1, backend.countExecuted("update"));
}

TEST(ExecutorKey, FailedStatementRollsBackTheKey) {
    fails("update", "23514");
    const RequestId id = fixture.submit(keyed("update"));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("<error 23514>", fixture.answer(id).bytes.c_str());
    CHECK_EQUAL(0, backend.countExecuted("COMMIT"));
    CHECK_EQUAL(1, backend.countExecuted("ROLLBACK"));
}

TEST(ExecutorKey, OfATransactionIsClaimedWithItsBegin) {
    const RequestId first = fixture.submit(keyed("BEGIN", StatementKind::Begin));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("[BEGIN]", fixture.answer(first).bytes.c_str());
    CHECK_EQUAL(1, backend.countExecuted(kInsertRequestKey));
    fixture.session = SessionId(2);
    fails(kInsertRequestKey, "23505");
    recorded(kTransactionFingerprint, std::nullopt);
    const RequestId second = fixture.submit(keyed("BEGIN", StatementKind::Begin));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("RK001", fixture.sqlState(second).c_str());
    STRCMP_EQUAL("", fixture.answer(second).bytes.c_str());
    CHECK_FALSE(fixture.answer(second).result->transaction.has_value());
}

TEST(ExecutorKey, IsRequiredWhereTheSettingsSaySo) {
    fixture.service.requestKeyPolicy = settings::RequestKeyPolicy::Required;
    const RequestId id = fixture.submit("update", StatementKind::Write);
    STRCMP_EQUAL("22023", fixture.sqlState(id).c_str());
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorKey, ExpiredKeysAreDeletedInBoundedBatches) {
    fixture.submit(keyed("update"));
    fixture.advance(seconds(61));
    CHECK_EQUAL(1, backend.countExecuted(kDeleteExpiredRequestKeys));
}

}  // namespace
}  // namespace coralhoist::contract
