/** What is sent on a connection: session values, prepared shapes, transactions, statements. */
#include <algorithm>
#include <utility>

#include "pooling/ConnectionAlignment.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {

void StatementPooler::start(GroupState& group, ServerState& server, ServerConnection& connection,
                            PooledSession& session, const Requirement& requirement) {
    Operation& operation = *session.operation;
    group.activity.note(session.tenant, _clock.now());
    connection.state = ServerConnection::State::Busy;
    connection.user = session.id;
    connection.inflight = true;
    connection.used = true;
    group.shares.noteSent(sharedServer(server), server.inflight, _clock.now());
    ++server.inflight;
    operation.server = server.address.server;
    operation.connection = connection.id;
    operation.floor = requirement.floor.value_or(OpTime{});
    server.catchUp.ask(operation.floor, requirement.reachedAt, _clock.now(), probePauses());
    const bool atPrimary =
        group.leadership.primary() && group.leadership.primary()->server == server.address.server;
    ++(atPrimary ? _statistics.primaryStatements : _statistics.replicaReads);
    std::vector<ServerCommand> commands =
        alignValues(connection, session.values, _knobs.preparedPerConnection);
    if (session.transaction.phase != TransactionPhase::Unstarted) {
        sendStatement(connection, session, std::move(commands));
        return;
    }
    // The statement is sent after BEGIN has succeeded, because it must not run outside the
    // transaction.
    operation.phase = OperationPhase::Beginning;
    operation.sentAt = _clock.now();
    ServerCommand begin;
    begin.id = session.transaction.begin.id;
    begin.text = session.transaction.begin.text;
    if (operation.floor.term > 0) {
        begin.after = operation.floor;
    }
    commands.push_back(std::move(begin));
    connection.awaited.push_back(AwaitedResult::Begin);
    if (!server.silentSince) {
        server.silentSince = operation.sentAt;
    }
    noteSent(connection, session);
    _connector.send(connection.id, commands);
    wakeAt(session, operation.deadline);
}

ServerCommand StatementPooler::callerCommand(const PooledSession& session) const {
    const Operation& operation = *session.operation;
    ServerCommand command;
    command.id = operation.statement.id;
    command.text = operation.statement.text;
    if (operation.statement.verb == StatementVerb::Execute) {
        command.kind = ServerCommand::Kind::Execute;
        command.name = session.prepared.at(operation.statement.name).serverName;
        command.argument = operation.statement.argument;
    }
    if (isSingleRead(session) && operation.floor.term > 0) {
        command.after = operation.floor;
    }
    return command;
}

void StatementPooler::sendStatement(ServerConnection& connection, PooledSession& session,
                                    std::vector<ServerCommand> commands) {
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    if (operation.statement.verb == StatementVerb::Execute) {
        alignPrepared(connection, session.prepared.at(operation.statement.name), commands);
    }
    commands.push_back(callerCommand(session));
    connection.awaited.push_back(AwaitedResult::Statement);
    operation.phase = OperationPhase::Sent;
    operation.connection = connection.id;
    operation.server = connection.server;
    operation.sentAt = now;
    ServerState* server = serverOf(connection);
    if (server != nullptr && !server->silentSince) {
        server->silentSince = now;
    }
    if (commitsChanges(session)) {
        renewProof(groupOf(session), session);
        groupOf(session).primaryWatch.noteWrite(connection.id, connection.server, now);
    }
    session.transaction.wrote = session.transaction.wrote || operation.writes;
    noteSent(connection, session);
    _connector.send(connection.id, commands);
    wakeAt(session, std::min(operation.deadline, now + _knobs.hedgeAfter));
}

void StatementPooler::sendInTransaction(PooledSession& session) {
    ServerConnection* connection = _connections.find(*session.transaction.connection);
    if (connection == nullptr) {
        failTransaction(session);
        replyError(session, StatementFault::Aborted, "the connection of the transaction was lost");
        return;
    }
    if (!mayContinue(*connection, session)) {
        return;
    }
    if (ServerState* server = serverOf(*connection)) {
        ++server->inflight;
        connection->inflight = true;
    }
    sendStatement(*connection, session,
                  alignValues(*connection, session.values, _knobs.preparedPerConnection));
}

void StatementPooler::noteSent(const ServerConnection& connection, const PooledSession& session) {
    const ServerState* server = _policy == nullptr ? nullptr : serverOf(connection);
    if (server != nullptr) {
        const GroupState& group = groupOf(session);
        _policy->noteSent(placedUnit(session, isPrimary(group, *server)),
                          placedServer(group, *server));
    }
}

/**
 * Checks the policy before each further statement of a transaction that is open on a server. A
 * transaction that must not continue there is rolled back by closing its connection: none of its
 * changes are kept, because its COMMIT was not sent.
 * @return whether the statement may be sent now; if not, it is deferred or has been answered.
 */
bool StatementPooler::mayContinue(ServerConnection& connection, PooledSession& session) {
    ServerState* server = _policy == nullptr ? nullptr : serverOf(connection);
    if (server == nullptr) {
        return true;
    }
    const GroupState& group = groupOf(session);
    const PlacementVerdict verdict = _policy->mayContinue(
        placedUnit(session, isPrimary(group, *server)), placedServer(group, *server));
    if (verdict.isAllowed()) {
        return true;
    }
    Operation& operation = *session.operation;
    operation.lastObstacle = verdict.reason;
    const TimePoint next = _clock.now() + verdict.expectedIn;
    if (!verdict.isForbidden() && next < operation.deadline) {
        operation.phase = OperationPhase::Queued;
        operation.notBefore = next;
        _connections.noteIdleInTransaction(connection);
        wakeAt(session, next);
        return false;
    }
    ++_statistics.transactionsEndedByPlacement;
    ++_statistics.endedByReason[verdict.reason];
    _connections.discard(connection.id);
    if (operation.statement.verb == StatementVerb::Commit) {
        forgetTransaction(session);
    } else {
        failTransaction(session);
    }
    replyError(session, StatementFault::Aborted, verdict.reason);
    return false;
}

}  // namespace coralhoist::pooling
