/** A pooler with a scripted connector, a recorded output and a clock that the test moves. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pooling/StatementPooler.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {

/** What was sent to a server and awaits its answer. */
struct SentCommand {
    ConnectionId connection;
    ServerName server;
    ServerCommand command;
};

/** Records connections and commands; the test delivers events itself. */
class ScriptedConnector final : public ServerConnector {
public:
    ConnectionId open(const ServerAddress& address, const TenantName& tenant,
                      ServerEvents& events) override;
    void send(ConnectionId connection, const std::vector<ServerCommand>& commands) override;
    void close(ConnectionId connection) override;

    std::vector<ConnectionId> opening;
    std::vector<SentCommand> sent;
    /** Commands that were ever sent to each server. */
    std::map<ServerName, std::size_t> reached;
    std::vector<ConnectionId> closed;
    std::map<ConnectionId, ServerName> serverOf;
    std::map<ConnectionId, TenantName> tenantOf;
};

/** A reply as the session's caller got it. */
struct RecordedReply {
    SessionId session;
    StatementResult result;
};

/** Two replicas and a primary of group "g", with the services "current", "bounded" and "own". */
class PoolerFixture final : public PoolerOutput {
public:
    PoolerFixture();

    /** Opens all connections that are being opened. */
    void openConnections();
    void advance(Duration span);
    /** Puts the services in force with groupSettings. */
    void applySettings();
    /** Announces the servers; the first of the names is the primary. */
    void announce(const std::string& primary, std::uint64_t version);

    SessionId session(const std::string& service);
    /** Submits a statement with a fresh id. @return the id. */
    std::string submit(SessionId session, StatementVerb verb, const std::string& text,
                       const std::string& name = {}, const std::string& argument = {},
                       ShapeKind kind = ShapeKind::Read);

    /** Answers the oldest command sent that is not answered yet. */
    void answer(StatementResult result);
    /** Answers it with success. */
    void succeed(OpTime position = {1, 100}, SessionState state = SessionState::Idle);
    void refuse(StatementFault fault, SessionState state = SessionState::Idle);
    /** Answers it as a command of the proxy's own. */
    void acknowledge(SessionState state = SessionState::Idle);

    /** @return the oldest command sent that is not answered yet. */
    const SentCommand& pending() const { return connector.sent.front(); }
    std::size_t pendingCount() const { return connector.sent.size(); }

    void reply(SessionId session, StatementResult result) override;
    void closeSession(SessionId session) override { closedSessions.push_back(session); }
    void wantLeadershipProof(const GroupName& /*group*/) override { ++proofsWanted; }
    void suspectPrimary(const GroupName& group, const ServerName& server,
                        SuspicionReason reason) override;

    testing::ManualClock clock;
    ScriptedConnector connector;
    StatementPooler pooler;
    ServerDirectory directory;
    GroupName group{"g"};
    std::vector<RecordedReply> replies;
    std::vector<SessionId> closedSessions;
    std::vector<SuspicionReason> suspicions;
    std::size_t proofsWanted = 0;
    settings::GroupSettings groupSettings;
    /** Called within each reply, once, when set. */
    std::function<void()> withinReply;

private:
    std::uint64_t _lastId = 0;
};

}  // namespace coralhoist::pooling
