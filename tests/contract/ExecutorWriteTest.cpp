/** Majority acknowledgement, fencing and unknown outcomes of writes. */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ExecutorWrite) {
    ExecutorFixture fixture;
    FakeBackend& backend = fixture.backend;

    /**
     * The primary's position advances with each write; replicas advance only when the test sets
     * their position.
     */
    void writesAdvancePrimary() {
        backend.onExecute = [this](const ServerName& server, const std::string& sql) {
            if (sql.starts_with("update")) {
                backend.statuses[server].receivedPosition += 10;
                backend.statuses[server].replayedPosition += 10;
            }
        };
    }
};

TEST(ExecutorWrite, IsAcknowledgedOnlyWhenAMajorityHasIt) {
    writesAdvancePrimary();
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.advance(milliseconds(200));
    CHECK_EQUAL(1, backend.countExecuted("update"));
    CHECK_FALSE(fixture.isOver(id));
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
    backend.statuses[kServerB].receivedPosition = 110;
    fixture.advance(milliseconds(10));
    CHECK_TRUE(fixture.isOver(id));
    STRCMP_EQUAL("[update]", fixture.answer(id).bytes.c_str());
    CHECK_TRUE((fixture.answer(id).result->observed == OpTime{1, 110}));
}

TEST(ExecutorWrite, OfAPrimaryThatWasCutOffIsNeverAcknowledged) {
    backend.silent = {kServerB, kServerC};
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.advance(seconds(11));
    CHECK_EQUAL(1, backend.countExecuted("update"));
    STRCMP_EQUAL("08007", fixture.sqlState(id).c_str());
    STRCMP_EQUAL("", fixture.answer(id).bytes.c_str());
}

TEST(ExecutorWrite, CommittedUnderAReplacedPrimaryIsUnknownAtOnce) {
    writesAdvancePrimary();
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.elect(kServerB, 2, {kServerC});
    fixture.setPositions(500);
    fixture.advance(milliseconds(600));
    STRCMP_EQUAL("08007", fixture.sqlState(id).c_str());
    CHECK_EQUAL(1, backend.countExecuted("update"));
}

TEST(ExecutorWrite, IsNotRepeatedWhenItsConnectionBreaksAfterSending) {
    backend.heldStatements = {"update"};
    const RequestId id = fixture.submit("update", StatementKind::Write);
    backend.loseHeld("update", true);
    backend.unhold("update");
    fixture.advance(seconds(1));
    STRCMP_EQUAL("08007", fixture.sqlState(id).c_str());
    CHECK_TRUE(fixture.answer(id).result->error->runState == RunState::Unknown);
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorWrite, IsSentAgainWhenNoByteWasSent) {
    backend.heldStatements = {"update"};
    const RequestId id = fixture.submit("update", StatementKind::Write);
    backend.loseHeld("update", false);
    backend.unhold("update");
    fixture.advance(seconds(1));
    STRCMP_EQUAL("", fixture.sqlState(id).c_str());
    CHECK_EQUAL(1, backend.countExecuted("update"));
}

TEST(ExecutorWrite, WaitsForTheNewPrimary) {
    backend.refusing = {kServerA};
    backend.silent = {kServerA};
    backend.loseAll(kServerA);
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.advance(seconds(1));
    CHECK_FALSE(fixture.isOver(id));
    fixture.elect(kServerB, 2, {kServerC});
    fixture.advance(seconds(1));
    STRCMP_EQUAL("", fixture.sqlState(id).c_str());
    CHECK_TRUE(backend.lastServerOf("update") == kServerB);
    CHECK_EQUAL(1, fixture.executor->statistics().primaryChanges);
}

TEST(ExecutorWrite, ThatCannotWaitLongerIsRefusedAsNotRun) {
    backend.silent = {kServerA};
    backend.loseAll(kServerA);
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.advance(seconds(11));
    STRCMP_EQUAL("57P03", fixture.sqlState(id).c_str());
    CHECK_TRUE(fixture.answer(id).result->error->runState == RunState::NotRun);
    backend.silent.clear();
    fixture.advance(seconds(5));
    CHECK_EQUAL(0, backend.countExecuted("update"));
}

TEST(ExecutorWrite, ErrorOfTheDatabaseIsForwardedAtOnce) {
    backend.silent = {kServerB, kServerC};
    backend.answers["update"].kind = CommandOutcome::Kind::Failed;
    backend.answers["update"].sqlState = "23514";
    const RequestId id = fixture.submit("update", StatementKind::Write);
    CHECK_TRUE(fixture.isOver(id));
    STRCMP_EQUAL("<error 23514>", fixture.answer(id).bytes.c_str());
}

TEST(ExecutorWrite, RefusedByAServerThatLostItsRoleMovesToThePrimary) {
    fixture.advance(milliseconds(10));
    // The server steps down between the last sample and the write.
    backend.statuses[kServerA].inRecovery = true;
    backend.answers["update"].kind = CommandOutcome::Kind::Failed;
    backend.answers["update"].sqlState = "25006";
    const RequestId id = fixture.submit("update", StatementKind::Write);
    CHECK_FALSE(fixture.isOver(id));
    backend.answers.clear();
    fixture.elect(kServerB, 2, {kServerA, kServerC});
    fixture.advance(seconds(1));
    STRCMP_EQUAL("[update]", fixture.answer(id).bytes.c_str());
    CHECK_TRUE(backend.lastServerOf("update") == kServerB);
}

TEST(ExecutorWrite, GoesToNoLeavingServer) {
    settings::GroupSettings settings = fixture.settings;
    settings.leavingServers = {kServerA};
    fixture.executor->applySettings(settings);
    const RequestId id = fixture.submit("update", StatementKind::Write);
    fixture.advance(seconds(1));
    CHECK_EQUAL(0, backend.countExecuted("update"));
    fixture.elect(kServerC, 2, {kServerA, kServerB});
    fixture.advance(seconds(1));
    STRCMP_EQUAL("", fixture.sqlState(id).c_str());
    CHECK_TRUE(backend.lastServerOf("update") == kServerC);
}

}  // namespace
}  // namespace coralhoist::contract
