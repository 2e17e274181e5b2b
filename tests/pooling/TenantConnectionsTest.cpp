#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(TenantConnections) {
    PoolerFixture fixture;

    void setup() override {
        fixture.pooler.setCallersHaveTenants(true);
    }

    SessionId sessionOf(const char* tenant) {
        return fixture.pooler.openSession(ServiceName("current"), TenantName(tenant));
    }

    /** Submits a write of a new session and opens the connection that it needs, if any. */
    SessionId write(const char* tenant) {
        const SessionId session = sessionOf(tenant);
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        fixture.openConnections();
        return session;
    }

    TenantName tenantOfPending() {
        return fixture.connector.tenantOf.at(fixture.pending().connection);
    }

    /** Limits the connections that each server accepts from this node to `connections`. */
    void limitConnections(std::uint32_t connections) {
        fixture.groupSettings.connectionsPerServer = connections + 1;
        fixture.applySettings();
        fixture.advance(milliseconds(600));
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    }
};

TEST(TenantConnections, AConnectionServesOnlyTheTenantThatItWasOpenedFor) {
    write("a");
    STRCMP_EQUAL("a", tenantOfPending().value().c_str());
    fixture.succeed();
    write("b");
    STRCMP_EQUAL("b", tenantOfPending().value().c_str());
    fixture.succeed();
    const std::size_t opened = fixture.connector.serverOf.size();
    write("a");
    STRCMP_EQUAL("a", tenantOfPending().value().c_str());
    UNSIGNED_LONGS_EQUAL(opened, fixture.connector.serverOf.size());
}

TEST(TenantConnections, AStatementOpensOneConnectionHoweverOftenItIsLookedAt) {
    const std::size_t before = fixture.connector.serverOf.size();
    fixture.submit(sessionOf("a"), StatementVerb::Write, "WRITE 1 a");
    for (int round = 0; round < 5; ++round) {
        fixture.advance(milliseconds(50));
    }
    UNSIGNED_LONGS_EQUAL(before + 1, fixture.connector.serverOf.size());
}

TEST(TenantConnections, AtTheLimitTheConnectionOfTheTenantThatUsesTheGroupLeastIsReplaced) {
    limitConnections(3);
    for (const char* tenant : {"a", "b"}) {
        write(tenant);
        fixture.succeed();
    }
    write("b");
    fixture.succeed();
    // The fixture's own connection belongs to no tenant, so no session uses it.
    fixture.connector.closed.clear();
    write("c");
    fixture.succeed();
    UNSIGNED_LONGS_EQUAL(1, fixture.connector.closed.size());
    STRCMP_EQUAL("", fixture.connector.tenantOf.at(fixture.connector.closed[0]).value().c_str());
    write("d");
    fixture.succeed();
    // "a" and "c" have had one statement each, "a" longer ago; "b" has had two.
    UNSIGNED_LONGS_EQUAL(2, fixture.connector.closed.size());
    STRCMP_EQUAL("a", fixture.connector.tenantOf.at(fixture.connector.closed[1]).value().c_str());
}

TEST(TenantConnections, AConnectionThatHasNotServedYetIsNotClosedForAnotherTenant) {
    limitConnections(1);
    fixture.submit(sessionOf("a"), StatementVerb::Write, "WRITE 1 a");
    fixture.submit(sessionOf("b"), StatementVerb::Write, "WRITE 1 b");
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    const TenantName first = tenantOfPending();
    fixture.succeed();
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    CHECK_TRUE(tenantOfPending() != first);
}

TEST(TenantConnections, IdleConnectionsAreVerifiedWhenAStatementGetsNoAnswer) {
    // Two concurrent writes open two connections of "a".
    fixture.submit(sessionOf("a"), StatementVerb::Write, "WRITE 1 a");
    fixture.submit(sessionOf("a"), StatementVerb::Write, "WRITE 2 a");
    fixture.openConnections();
    fixture.succeed();
    fixture.openConnections();
    fixture.succeed();
    fixture.advance(milliseconds(10));
    write("a");
    const std::size_t sent = fixture.pendingCount();
    fixture.advance(milliseconds(150));
    fixture.advance(milliseconds(80));
    CHECK_TRUE(fixture.pendingCount() > sent);
    CHECK_TRUE(fixture.connector.sent.back().command.kind == ServerCommand::Kind::Rollback);
    const ConnectionId verified = fixture.connector.sent.back().connection;
    fixture.advance(milliseconds(601));
    CHECK_TRUE(std::count(fixture.connector.closed.begin(), fixture.connector.closed.end(),
                          verified) == 1);
}

TEST(TenantConnections, ARefusedTransactionIsRolledBackAtItsServer) {
    const SessionId session = sessionOf("a");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.openConnections();
    fixture.acknowledge(SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    Statement commit;
    commit.id = "r";
    commit.verb = StatementVerb::Commit;
    fixture.pooler.refuse(session, commit, {StatementFault::Aborted, "refused"});
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Rollback);
    CHECK_TRUE(fixture.replies.back().result.error->fault == StatementFault::Aborted);
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
}

}  // namespace
}  // namespace coralhoist::pooling
