/** Connections to servers: opened, released, abandoned, lost. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** How long the number of connections at which a server refused holds. */
constexpr Duration kConnectionLimitPause = std::chrono::seconds(1);
/** A server that leaves answers out now and then has its idle connections verified so often. */
constexpr Duration kVerificationPause = std::chrono::milliseconds(500);

}  // namespace

void StatementPooler::onOpened(ConnectionId id, OpTime position) {
    ServerConnection* connection = findConnection(id);
    if (connection == nullptr) {
        return;
    }
    connection->state = ServerConnection::State::Idle;
    connection->since = _clock.now();
    if (ServerState* server = serverOf(*connection)) {
        --server->opening;
        if (server->unreachable) {
            LogEvent("pooling", LogLevel::Info, "server.regained")
                .field("server", connection->server);
        }
        server->unreachable = false;
        server->heardAt = _clock.now();
        server->idle.push_back(id);
    }
    notePosition(*connection, position);
    markDirty(connection->group);
    settle();
}

void StatementPooler::onOpenFailed(ConnectionId id, const std::optional<StatementError>& refusal) {
    ServerConnection* connection = findConnection(id);
    if (connection == nullptr) {
        return;
    }
    const TimePoint now = _clock.now();
    if (ServerState* server = serverOf(*connection)) {
        const bool full = refusal && refusal->fault == StatementFault::ConnectionLimit;
        if (full) {
            server->refusedAbove = server->connections - server->opening;
            server->refusedUntil = now + kConnectionLimitPause;
        } else if (!server->unreachable) {
            server->unreachable = true;
            LogEvent("pooling", LogLevel::Warning, "server.unreachable")
                .field("group", connection->group)
                .field("server", connection->server)
                .field("refusal", refusal ? describe(refusal->fault) : "none");
        }
        server->nextConnect = now + _knobs.reconnectPause;
    }
    const GroupName group = connection->group;
    forget(id);
    markDirty(group);
    settle();
}

/** The user is done with the connection. */
void StatementPooler::release(ServerConnection& connection, SessionState state) {
    ServerState* server = serverOf(connection);
    if (server != nullptr && connection.inflight) {
        --server->inflight;
    }
    connection.inflight = false;
    connection.user.reset();
    connection.pinned = false;
    markDirty(connection.group);
    if (state != SessionState::Idle) {
        sendRollback(connection);
        return;
    }
    if (server == nullptr || !server->ready || connection.poisoned) {
        discard(connection.id);
        return;
    }
    connection.state = ServerConnection::State::Idle;
    connection.since = _clock.now();
    server->idle.push_back(connection.id);
}

/** The user went away; what is unanswered is waited for and dropped. */
void StatementPooler::abandon(ServerConnection& connection) {
    connection.user.reset();
    connection.since = _clock.now();
    if (connection.awaited.empty()) {
        sendRollback(connection);
    }
}

/** @return whether nothing of this node's own may be sent to the server either. */
bool StatementPooler::isForbidden(const GroupName& group, const ServerState& server) {
    static const ServiceName noService;
    static const TenantName noTenant;
    return _policy != nullptr && _policy
                                     ->mayContinue({group, noService, noTenant, 0, false},
                                                   placedServer(_groups[group], server))
                                     .isForbidden();
}

/** The server ends the transaction, too, when its connection closes. The connection may be gone
 * afterwards. */
void StatementPooler::sendRollback(ServerConnection& connection) {
    ServerState* server = serverOf(connection);
    if (server != nullptr && connection.inflight) {
        --server->inflight;
    }
    connection.inflight = false;
    connection.pinned = false;
    connection.user.reset();
    connection.since = _clock.now();
    if (server != nullptr && isForbidden(connection.group, *server)) {
        discard(connection.id);
        return;
    }
    ServerCommand command;
    command.kind = ServerCommand::Kind::Rollback;
    connection.awaited.push_back(AwaitedResult::Rollback);
    _connector.send(connection.id, {command});
}

void StatementPooler::discard(ConnectionId id) {
    _connector.close(id);
    forget(id);
}

void StatementPooler::forget(ConnectionId id) {
    const auto found = _connections.find(id);
    if (found == _connections.end()) {
        return;
    }
    const ServerConnection& connection = found->second;
    _groups[connection.group].pendingWrites.erase(id);
    if (ServerState* server = serverOf(connection)) {
        --server->connections;
        server->opening -= connection.state == ServerConnection::State::Opening ? 1 : 0;
        server->inflight -= connection.inflight ? 1 : 0;
        std::erase(server->idle, id);
        if (server->inflight == 0) {
            server->silentSince.reset();
        }
    }
    markDirty(connection.group);
    _connections.erase(found);
}

void StatementPooler::failTransaction(PooledSession& session) {
    SessionTransaction& transaction = session.transaction;
    transaction.phase = TransactionPhase::Failed;
    endUnit(transaction.unit);
    transaction.connection.reset();
    transaction.failureTold = session.operation.has_value();
}

void StatementPooler::onLost(ConnectionId id) {
    ServerConnection* connection = findConnection(id);
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
    forget(id);
    PooledSession* session = user ? findSession(*user) : nullptr;
    if (session != nullptr) {
        onUserLost(*session, "the connection to the server broke");
    }
    settle();
}

/** A connection that nobody waited for may have been idle for long: it tells nothing. */
void StatementPooler::noteLoss(const ServerConnection& connection) {
    ServerState* server = serverOf(connection);
    if (server == nullptr || connection.awaited.empty()) {
        return;
    }
    if (server->lostInRow == 0) {
        server->losingSince = _clock.now();
    }
    ++server->lostInRow;
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
    }
}

/** The session is outside any transaction from now on; what it had open is ended elsewhere. */
void StatementPooler::forgetTransaction(PooledSession& session) {
    session.transaction = SessionTransaction{};
    _openTransactions.erase(session.id);
}

/** A statement was sent and its answer will not come. */
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

/**
 * Open connections may go silent for good, without a reset, while new ones work. When a statement
 * gets no answer, those that have been idle since before it was sent have to answer a command of
 * the proxy before they serve again; one that does not is closed like an abandoned one. Else each
 * of them would cost a read its patience, and leave a write in doubt.
 */
void StatementPooler::verifyIdle(ServerState& server, TimePoint since) {
    const TimePoint now = _clock.now();
    if (now < server.nextVerification) {
        return;
    }
    server.nextVerification = now + kVerificationPause;
    const std::vector<ConnectionId> idle = server.idle;
    for (const ConnectionId id : idle) {
        ServerConnection& connection = *findConnection(id);
        if (connection.since < since) {
            std::erase(server.idle, id);
            connection.state = ServerConnection::State::Busy;
            sendRollback(connection);
        }
    }
}

bool StatementPooler::keepsWarm(const GroupName& group) const {
    return _forwarder == nullptr || (_nodesKnown && _placement.executesHere(group));
}

/** Closes what this node keeps open to servers whose statements other nodes execute. */
void StatementPooler::releaseUnused(GroupState& group, TimePoint now) {
    for (auto& [name, server] : group.servers) {
        const std::vector<ConnectionId> idle = server.idle;
        for (const ConnectionId id : idle) {
            if (now - findConnection(id)->since > _knobs.unusedFor) {
                discard(id);
            }
        }
    }
}

/**
 * One connection to each server stands ready, also to one that may become the primary. Not where
 * each serves one tenant: which one would be needed next is not known.
 */
void StatementPooler::keepWarm(GroupState& group) {
    if (_callersHaveTenants) {
        return;
    }
    for (auto& [name, server] : group.servers) {
        if (server.connections == 0) {
            openConnection(server, TenantName());
        }
    }
}

}  // namespace coralhoist::pooling
