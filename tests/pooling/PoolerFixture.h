/** A pooler with a scripted connector, recorded output and a manual clock. */
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

/** A command that was sent to a server and has no response yet. */
struct SentCommand {
    ConnectionId connection;
    ServerName server;
    ServerCommand command;
};

/** Records connections and commands; the test delivers the events itself. */
class ScriptedConnector final : public ServerConnector {
public:
    ConnectionId open(const ServerAddress& address, const TenantName& tenant,
                      ServerEvents& events) override;
    void send(ConnectionId connection, const std::vector<ServerCommand>& commands) override;
    void close(ConnectionId connection) override;

    std::vector<ConnectionId> opening;
    std::vector<SentCommand> sent;
    /** Number of commands sent to each server so far. */
    std::map<ServerName, std::size_t> reached;
    std::vector<ConnectionId> closed;
    std::map<ConnectionId, ServerName> serverOf;
    std::map<ConnectionId, TenantName> tenantOf;
};

/** A reply as the session's caller received it. */
struct RecordedReply {
    SessionId session;
    StatementResult result;
};

/** A primary and two replicas of group "g", with the services "current", "bounded" and "own". */
class PoolerFixture final : public PoolerOutput {
public:
    PoolerFixture();

    /** Reports all connections that are being opened as open. */
    void openConnections();
    void advance(Duration span);
    /** Applies the services together with groupSettings. */
    void applySettings();
    /** Announces the servers, with the given one as the primary. */
    void announce(const std::string& primary, std::uint64_t version);

    SessionId session(const std::string& service);
    /** Submits a statement with a new id. @return the id. */
    std::string submit(SessionId session, StatementVerb verb, const std::string& text,
                       const std::string& name = {}, const std::string& argument = {},
                       ShapeKind kind = ShapeKind::Read);

    /** Delivers the result of the oldest unanswered command. */
    void answer(StatementResult result);
    /** Answers the oldest unanswered command with success. */
    void succeed(OpTime position = {1, 100}, SessionState state = SessionState::Idle);
    void refuse(StatementFault fault, SessionState state = SessionState::Idle);
    /** Answers the oldest unanswered command without a signature, like a command of the proxy. */
    void acknowledge(SessionState state = SessionState::Idle);

    /** @return the oldest unanswered command. */
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
    /** If set, called once, within the next reply. */
    std::function<void()> withinReply;

private:
    std::uint64_t _lastId = 0;
};

}  // namespace coralhoist::pooling
