/**
 * The pooler queries a policy where units may be sent, for each statement that it places or sends.
 */
#include <CppUTest/TestHarness.h>

#include <map>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** A policy with one verdict for each server, applied to new units and open transactions. */
class ScriptedPolicy final : public PlacementPolicy {
public:
    PlacementVerdict mayBegin(const PlacedUnit& /*unit*/, const PlacedServer& server) override {
        return verdictOf(server.server);
    }
    PlacementVerdict mayContinue(const PlacedUnit& /*unit*/, const PlacedServer& server) override {
        return verdictOf(server.server);
    }
    bool isClosed(const PlacedServer& server) override {
        return verdictOf(server.server).isForbidden();
    }
    bool mayForwardTo(const PlacedUnit& /*unit*/, const ZoneName& /*zone*/) override {
        return true;
    }
    void noteSent(const PlacedUnit& /*unit*/, const PlacedServer& server) override {
        ++sent[server.server];
    }
    void noteServerLost(const GroupName& /*group*/, const ServerName& server) override {
        ++lost[server];
    }

    std::map<ServerName, PlacementVerdict> verdicts;
    std::map<ServerName, int> sent;
    std::map<ServerName, int> lost;

private:
    PlacementVerdict verdictOf(const ServerName& server) const {
        const auto found = verdicts.find(server);
        return found == verdicts.end() ? PlacementVerdict::allowed() : found->second;
    }
};

constexpr const char* kReason = "ruled_out";

}  // namespace

TEST_GROUP(PoolerPlacement) {
    PoolerFixture fixture;
    ScriptedPolicy policy;
    const ServerName primary{"s1"};

    void setup() override {
        fixture.pooler.setPlacementPolicy(policy);
    }

    void forbid(const ServerName& server) {
        policy.verdicts[server] = PlacementVerdict::forbidden(kReason);
    }
    void write() {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    }
    /** @return a session whose transaction is open on the primary. */
    SessionId openTransaction() {
        const SessionId session = fixture.session("current");
        fixture.submit(session, StatementVerb::Begin, "BEGIN");
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        fixture.acknowledge(SessionState::InTransaction);
        fixture.succeed({1, 100}, SessionState::InTransaction);
        return session;
    }
    void checkLastFault(StatementFault fault) {
        CHECK_TRUE(fixture.replies.back().result.error.has_value());
        CHECK_TRUE(fault == fixture.replies.back().result.error->fault);
    }
};

TEST(PoolerPlacement, AStatementThatOnlyAForbiddenServerCanRunIsRefusedAtOnce) {
    forbid(primary);
    write();
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    checkLastFault(StatementFault::Busy);
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().refusedByPlacement);
}

TEST(PoolerPlacement, ADeferredStatementWaitsWhileItsTimeAllows) {
    policy.verdicts[primary] = PlacementVerdict::deferred(milliseconds(300), kReason);
    write();
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
    policy.verdicts.clear();
    fixture.pooler.reviewPlacement();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(PoolerPlacement, ADeferredStatementIsRefusedAtOnceWhenItWouldBeLate) {
    policy.verdicts[primary] = PlacementVerdict::deferred(milliseconds(5000), kReason);
    write();
    checkLastFault(StatementFault::Busy);
    STRCMP_EQUAL("not run (ruled_out); come back in 5000 ms",
                 fixture.replies[0].result.error->message.c_str());
}

TEST(PoolerPlacement, AReadGoesToAServerThatIsAllowed) {
    write();
    fixture.succeed({1, 50});
    forbid(ServerName("s2"));
    forbid(primary);
    fixture.submit(fixture.session("bounded"), StatementVerb::Read, "READ 1");
    STRCMP_EQUAL("s3", fixture.pending().server.value().c_str());
}

TEST(PoolerPlacement, ATransactionEndsWhereItMustNotGoOn) {
    const SessionId session = openTransaction();
    forbid(primary);
    fixture.submit(session, StatementVerb::Write, "WRITE 2 b");
    checkLastFault(StatementFault::Aborted);
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(1, fixture.connector.closed.size());
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    CHECK_TRUE(fixture.replies.back().result.succeeded());
}

TEST(PoolerPlacement, ACommitThatMustNotBeSentKeepsNothing) {
    const SessionId session = openTransaction();
    forbid(primary);
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    checkLastFault(StatementFault::Aborted);
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    CHECK_TRUE(SessionState::Idle == fixture.replies.back().result.state);
}

TEST(PoolerPlacement, AnIdleTransactionIsEndedByAReview) {
    const SessionId session = openTransaction();
    forbid(primary);
    fixture.pooler.reviewPlacement();
    CHECK_TRUE(SessionState::Failed == fixture.pooler.stateOfSession(session));
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().transactionsEndedByPlacement);
}

TEST(PoolerPlacement, ARollbackIsNotSentToAForbiddenServer) {
    const SessionId session = openTransaction();
    forbid(primary);
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(1, fixture.connector.closed.size());
}

TEST(PoolerPlacement, AStatementRunningOnANewlyForbiddenServerIsAnswered) {
    const SessionId session = openTransaction();
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    forbid(primary);
    fixture.pooler.reviewPlacement();
    fixture.succeed({1, 101}, SessionState::Idle);
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    UNSIGNED_LONGS_EQUAL(0, fixture.pooler.statistics().transactionsEndedByPlacement);
}

TEST(PoolerPlacement, RefusalsAndEndsAreCountedByReason) {
    openTransaction();
    forbid(primary);
    fixture.pooler.reviewPlacement();
    write();
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().endedByReason.at(kReason));
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().refusedByReason.at(kReason));
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

TEST(PoolerPlacement, AFurtherStatementWaitsUntilItIsAllowed) {
    const SessionId session = openTransaction();
    policy.verdicts[primary] = PlacementVerdict::deferred(milliseconds(20), kReason);
    fixture.submit(session, StatementVerb::Write, "WRITE 2 b");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    policy.verdicts.clear();
    fixture.advance(milliseconds(20));
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    fixture.succeed({1, 101}, SessionState::InTransaction);
    CHECK_TRUE(fixture.replies.back().result.succeeded());
}

TEST(PoolerPlacement, ThePolicyIsNotifiedOfEachStatementSent) {
    openTransaction();
    LONGS_EQUAL(2, policy.sent[primary]);
}

/** The connections of a silent server are closed; the server may restart in the meantime. */
TEST(PoolerPlacement, ThePolicyIsNotifiedOfASilentServerAsLost) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.pooler.endSession(session);
    fixture.advance(PoolerKnobs().abandonedFor + milliseconds(100));
    CHECK_TRUE(policy.lost[primary] > 0);
}

}  // namespace coralhoist::pooling
