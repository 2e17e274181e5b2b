/** Connections to one server: when they may be opened, which one is lent, and when they serve
 * again. */
#include <CppUTest/TestHarness.h>

#include <map>

#include "PoolerFixture.h"
#include "pooling/ServerConnections.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** Ignores all events: the test notifies the connections itself. */
class IgnoredEvents final : public ServerEvents {
public:
    void onOpened(ConnectionId /*connection*/, OpTime /*position*/) override {}
    void onOpenFailed(ConnectionId /*connection*/,
                      const std::optional<StatementError>& /*refusal*/) override {}
    void onResult(ConnectionId /*connection*/, StatementResult /*result*/) override {}
    void onLost(ConnectionId /*connection*/) override {}
};

/** Owns one server. */
class OneServer final : public ConnectionOwner {
public:
    ServerState* serverOf(const ServerConnection& /*connection*/) override { return &server; }
    bool isClosed(const ServerState& /*server*/) override { return closed; }
    void onRoom(const GroupName& /*group*/) override { ++rooms; }
    void onForgotten(const ServerConnection& connection) override {
        forgotten.push_back(connection.id);
    }

    ServerState server;
    bool closed = false;
    int rooms = 0;
    std::vector<ConnectionId> forgotten;
};

}  // namespace

TEST_GROUP(ServerConnections) {
    testing::ManualClock clock;
    ScriptedConnector connector;
    IgnoredEvents events;
    OneServer owner;
    PoolerKnobs knobs;
    PoolerStatistics statistics;
    TenantActivity activity;
    ServerConnections connections{clock, connector, events, owner, knobs, statistics};
    ServerState& server = owner.server;
    const TenantName first{"first"};
    const TenantName second{"second"};

    void setup() override {
        server.ready = true;
    }

    OpeningTerms terms(std::uint32_t limit) const {
        return {limit, activity};
    }
    ServerConnection& openIdle(const TenantName& tenant) {
        const std::optional<ConnectionId> id = connections.open(server, tenant, terms(2));
        CHECK_TRUE(id.has_value());
        connections.noteOpened(*connections.find(*id));
        return *connections.find(*id);
    }
    ServerConnection& lend(const TenantName& tenant) {
        ServerConnection* connection = connections.takeIdle(server, tenant, {});
        CHECK(connection != nullptr);
        connection->state = ServerConnection::State::Busy;
        connection->user = SessionId(7);
        connection->inflight = true;
        connection->used = true;
        ++server.inflight;
        return *connection;
    }
};

TEST(ServerConnections, AReleasedConnectionServesAgain) {
    openIdle(first);
    ServerConnection& connection = lend(first);
    connections.release(connection, SessionState::Idle);
    UNSIGNED_LONGS_EQUAL(0, server.inflight);
    CHECK_TRUE(connections.hasIdleFor(server, first));
    CHECK_FALSE(connections.hasIdleFor(server, second));
}

TEST(ServerConnections, AConnectionWithAnOpenTransactionIsRolledBackBeforeItServes) {
    openIdle(first);
    ServerConnection& connection = lend(first);
    connections.release(connection, SessionState::InTransaction);
    CHECK_FALSE(connections.hasIdleFor(server, first));
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
    CHECK_TRUE(ServerCommand::Kind::Rollback == connector.sent.front().command.kind);
}

TEST(ServerConnections, NoRollbackIsSentToAClosedServer) {
    openIdle(first);
    ServerConnection& connection = lend(first);
    owner.closed = true;
    connections.release(connection, SessionState::InTransaction);
    UNSIGNED_LONGS_EQUAL(0, connector.sent.size());
    UNSIGNED_LONGS_EQUAL(1, connector.closed.size());
    CHECK_TRUE(connections.all().empty());
}

TEST(ServerConnections, AtTheLimitAnIdleConnectionIsReplaced) {
    openIdle(first).used = true;
    CHECK_FALSE(connections.mayOpen(server, terms(0)) && server.idle.empty());
    CHECK_TRUE(connections.mayOpen(server, terms(1)));
    CHECK_TRUE(connections.open(server, second, terms(1)).has_value());
    UNSIGNED_LONGS_EQUAL(1, server.connections);
    UNSIGNED_LONGS_EQUAL(1, statistics.connectionsReplaced);
}

TEST(ServerConnections, AConnectionThatWasJustOpenedIsNotReplaced) {
    openIdle(first);
    CHECK_FALSE(connections.mayOpen(server, terms(1)));
    clock.advance(milliseconds(101));
    CHECK_TRUE(connections.mayOpen(server, terms(1)));
}

TEST(ServerConnections, AServerThatRefusesIsNotContactedForAWhile) {
    const auto id = connections.open(server, first, terms(2));
    connections.noteOpenFailed(*connections.find(*id), std::nullopt);
    CHECK_TRUE(server.unreachable);
    UNSIGNED_LONGS_EQUAL(0, server.connections);
    CHECK_FALSE(connections.mayOpen(server, terms(2)));
    clock.advance(knobs.reconnectPause);
    CHECK_TRUE(connections.mayOpen(server, terms(2)));
}

TEST(ServerConnections, AnAbandonedConnectionThatNeverRespondsIsLate) {
    openIdle(first);
    ServerConnection& connection = lend(first);
    connection.awaited.push_back(AwaitedResult::Statement);
    connections.abandon(connection);
    CHECK_TRUE(connections.late().empty());
    clock.advance(knobs.abandonedFor + milliseconds(1));
    UNSIGNED_LONGS_EQUAL(1, connections.late().size());
}

TEST(ServerConnections, IdleConnectionsRespondBeforeTheyServeAgain) {
    openIdle(first);
    clock.advance(milliseconds(50));
    connections.verifyIdle(server, clock.now());
    CHECK_FALSE(connections.hasIdleFor(server, first));
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
}

TEST(ServerConnections, ARemovedConnectionLeavesNoCountBehind) {
    openIdle(first);
    ServerConnection& connection = lend(first);
    connections.discard(connection.id);
    UNSIGNED_LONGS_EQUAL(0, server.connections);
    UNSIGNED_LONGS_EQUAL(0, server.inflight);
    UNSIGNED_LONGS_EQUAL(1, owner.forgotten.size());
    CHECK_TRUE(connections.all().empty());
}

}  // namespace coralhoist::pooling
