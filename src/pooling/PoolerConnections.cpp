/** Handling of connections to servers when they are opened, released, abandoned or lost. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
void StatementPooler::onOpened(ConnectionId id, OpTime position) {
    ServerConnection* connection = _connections.find(id);
    if (connection == nullptr) {
        return;
    }
    _connections.noteOpened(*connection);
    if (_policy != nullptr) {
        _policy->noteServerOpened(connection->group, connection->server);
    }
    notePosition(*connection, position);
    markDirty(connection->group);
    settle();
}

void StatementPooler::onOpenFailed(ConnectionId id, const std::optional<StatementError>& refusal) {
    ServerConnection* connection = _connections.find(id);
    if (connection == nullptr) {
        return;
    }
    const GroupName group = connection->group;
    const ServerName server = connection->server;
    _connections.noteOpenFailed(*connection, refusal);
    if (!refusal || refusal->fault != StatementFault::ConnectionLimit) {
        noteIfLost(group, server);
    }
    markDirty(group);
    settle();
}

/** Notifies the policy if no connection to the server is left. */
void StatementPooler::noteIfLost(const GroupName& group, const ServerName& name) {
    const auto& servers = groupNamed(group).servers;
    const auto server = servers.find(name);
    if (_policy != nullptr && server != servers.end() &&
        server->second.connections == server->second.opening) {
        _policy->noteServerLost(group, name);
    }
}

void StatementPooler::failTransaction(PooledSession& session) {
    SessionTransaction& transaction = session.transaction;
    transaction.phase = TransactionPhase::Failed;
    endUnit(transaction.unit);
    transaction.connection.reset();
    transaction.failureReported = session.operation.has_value();
}

void StatementPooler::onLost(ConnectionId id) {
    ServerConnection* connection = _connections.find(id);
    if (connection == nullptr) {
        return;
    }
    ++_statistics.connectionsLost;
    const std::optional<SessionId> user = connection->user;
    noteLoss(*connection);
    LogEvent("pooling", LogLevel::Info, "connection.lost")
        .field("group", connection->group)
        .field("server", connection->server)
        .field("busy", user.has_value());
    const GroupName group = connection->group;
    const ServerName server = connection->server;
    _connections.forget(id);
    noteIfLost(group, server);
    PooledSession* session = user ? findSession(*user) : nullptr;
    if (session != nullptr) {
        onUserLost(*session, "the connection to the server broke");
    }
    settle();
}

/**
 * A connection without awaited results may have been idle for long: its loss says nothing about the
 * server.
 */
void StatementPooler::noteLoss(const ServerConnection& connection) {
    ServerState* server = serverOf(connection);
    if (server == nullptr || connection.awaited.empty()) {
        return;
    }
    if (server->consecutiveLosses == 0) {
        server->firstLossAt = _clock.now();
    }
    ++server->consecutiveLosses;
    noteRequestLost(server);
}

void StatementPooler::onUserLost(PooledSession& session, const char* reason) {
    if (!session.operation) {
        failTransaction(session);
        return;
    }
    switch (session.operation->phase) {
        case OperationPhase::Beginning:
            requeue(session, "connection_lost");
            return;
        case OperationPhase::Queued:
            failTransaction(session);
            replyError(session, StatementFault::Aborted, reason);
            return;
        case OperationPhase::Sent:
            onSentLost(session, reason);
            return;
        case OperationPhase::Acknowledged:
            return;
    }
}

/**
 * Marks the session as outside any transaction. The caller of this function must end the
 * transaction on the server or on the executing node.
 */
void StatementPooler::forgetTransaction(PooledSession& session) {
    session.transaction = SessionTransaction{};
    _openTransactions.erase(session.id);
}

/** A statement was sent and its response will not arrive. */
void StatementPooler::onSentLost(PooledSession& session, const char* reason) {
    const Operation& operation = *session.operation;
    SessionTransaction& transaction = session.transaction;
    if (transaction.phase != TransactionPhase::Open) {
        if (operation.writes) {
            replyError(session, StatementFault::InDoubt, reason);
        } else {
            requeue(session, "answer_lost");
        }
        return;
    }
    if (operation.statement.verb != StatementVerb::Commit) {
        failTransaction(session);
        replyError(session, StatementFault::Aborted, reason);
        return;
    }
    const bool wrote = transaction.wrote;
    forgetTransaction(session);
    replyError(session, wrote ? StatementFault::InDoubt : StatementFault::Aborted, reason);
}

bool StatementPooler::keepsWarm(const GroupName& group) const {
    return _forwarder == nullptr || (_nodesKnown && _placement.executesHere(group));
}

/** Closes idle connections to servers of groups whose statements other nodes execute. */
void StatementPooler::releaseUnused(GroupState& group) {
    for (auto& [name, server] : group.servers) {
        _connections.discardUnused(server);
    }
}

/**
 * Keeps one connection open to each server, also to a server that may become the primary. Not done
 * where each connection serves one tenant, because the tenant that will need the next connection is
 * unknown.
 */
void StatementPooler::keepWarm(GroupState& group) {
    if (_callersHaveTenants) {
        return;
    }
    for (auto& [name, server] : group.servers) {
        if (server.connections == 0) {
            _connections.open(server, TenantName(), openingTerms(server));
        }
    }
}

}  // namespace coralhoist::pooling
