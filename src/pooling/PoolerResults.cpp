/** Handling of servers' responses. */
#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Number of attempts after which a statement is abandoned as not run. */
constexpr std::uint32_t kMaximumAttempts = 12;
/** Weight of a new latency sample is 1/n. */
constexpr int kLatencySmoothing = 6;

bool isRetryable(StatementFault fault) {
    switch (fault) {
        case StatementFault::Busy:
        case StatementFault::Lagging:
        case StatementFault::ReadOnly:
        case StatementFault::WrongServer:
        case StatementFault::ConnectionLimit:
        case StatementFault::UnknownName:
            return true;
        default:
            return false;
    }
}

}  // namespace

void StatementPooler::onResult(ConnectionId id, StatementResult result) {
    ServerConnection* connection = _connections.find(id);
    if (connection == nullptr) {
        return;
    }
    if (connection->awaited.empty()) {
        onLost(id);
        _connector.close(id);
        return;
    }
    const AwaitedResult awaited = connection->awaited.front();
    connection->awaited.pop_front();
    if (ServerState* server = serverOf(*connection)) {
        server->lastSeenAt = _clock.now();
        if (awaited == AwaitedResult::Statement) {
            // Responses to the proxy's own commands do not show that the server serves callers.
            server->consecutiveLosses = 0;
        }
        server->silentSince.reset();
        if (server->inflight > 1) {
            server->silentSince = server->lastSeenAt;
        }
    }
    notePosition(*connection, result.position);
    if (awaited == AwaitedResult::Housekeeping) {
        connection->poisoned = connection->poisoned || !result.succeeded();
        return;
    }
    groupNamed(connection->group).primaryWatch.noteAnswered(id);
    PooledSession* session = connection->user ? findSession(*connection->user) : nullptr;
    if (awaited == AwaitedResult::Rollback || session == nullptr) {
        const bool usable = !connection->poisoned && result.state == SessionState::Idle;
        if (usable) {
            _connections.release(*connection, SessionState::Idle);
        } else if (awaited == AwaitedResult::Rollback) {
            _connections.discard(id);
        } else {
            _connections.rollBack(*connection);
        }
    } else if (awaited == AwaitedResult::Begin) {
        onBeginResult(*connection, *session, result);
    } else {
        onStatementResult(*connection, *session, std::move(result));
    }
    settle();
}

void StatementPooler::onBeginResult(ServerConnection& connection, PooledSession& session,
                                    const StatementResult& result) {
    if (connection.poisoned) {
        _connections.discard(connection.id);
        requeue(session, "connection_unusable");
        return;
    }
    if (!result.succeeded()) {
        noteFault(session, result.error->fault);
        _connections.release(connection, result.state);
        if (isRetryable(result.error->fault)) {
            requeue(session, describe(result.error->fault));
            return;
        }
        failTransaction(session);
        replyError(session, StatementFault::Aborted, result.error->message);
        return;
    }
    session.transaction.phase = TransactionPhase::Open;
    session.transaction.connection = connection.id;
    connection.pinned = true;
    if (mayContinue(connection, session)) {
        sendStatement(connection, session, {});
    }
}

void StatementPooler::onStatementResult(ServerConnection& connection, PooledSession& session,
                                        StatementResult result) {
    const bool lacksSignature = result.succeeded() && result.signature.empty();
    if (connection.poisoned || lacksSignature) {
        _connections.discard(connection.id);
        onSentLost(session, "answers on the connection can't be told apart");
        return;
    }
    if (result.succeeded()) {
        noteLatency(connection, session);
        onSucceeded(connection, session, std::move(result));
    } else {
        onRefused(connection, session, std::move(result));
    }
}

/**
 * Only a statement that ran shows how long the server takes; a refusal is fast and indicates the
 * opposite.
 */
void StatementPooler::noteLatency(ServerConnection& connection, PooledSession& session) {
    ServerState* server = serverOf(connection);
    if (server == nullptr) {
        return;
    }
    const TimePoint now = _clock.now();
    const Duration took = wayTo(*server).atServer(now - session.operation->sentAt);
    server->latency += (took - server->latency) / kLatencySmoothing;
    noteSlowness(*server, session, took);
    noteSlotTime(session, took);
    server->latencyAt = now;
    ++server->succeeded;
    server->catchUp.succeed();
    server->busyPause = Duration(0);
    if (server->latency > groupOf(session).latencyTarget) {
        lowerLimit(*server, _knobs.latencyDecrease);
        return;
    }
    server->inflightLimit = std::min(server->inflightLimit + _knobs.inflightIncrease,
                                     std::max(1.0, inflightCapacityOf(*server)));
}

/** Servers are compared only by reads that any server may run: writes run on the primary alone. */
void StatementPooler::noteSlowness(ServerState& server, const PooledSession& session,
                                   Duration took) {
    GroupState& group = groupOf(session);
    const TimePoint now = _clock.now();
    std::optional<double> slowness;
    if (isSingleRead(session) && session.settings.readRouting == settings::ReadRouting::Replica) {
        const auto usual = static_cast<double>(unitTimeOf(group, session).count());
        slowness = static_cast<double>(took.count()) / usual;
        server.slowness += (*slowness - server.slowness) / kLatencySmoothing;
        server.slownessAt = now;
    }
    group.outliers.onSuccess(server.address.server, slowness, now);
}

/** Records that the response of a request was lost or will not arrive. */
void StatementPooler::noteRequestLost(ServerState* server) {
    if (server != nullptr) {
        groupNamed(server->address.group).outliers.onFailure(server->address.server, _clock.now());
    }
}

/**
 * Ejects and admits servers. A replica that is admitted again is subject to slow start: its
 * in-flight limit restarts at one statement and grows as the replica responds.
 */
void StatementPooler::reviewOutliers(const GroupName& name, GroupState& group) {
    std::vector<ServerName> serving;
    for (const auto& [serverName, server] : group.servers) {
        if (server.ready) {
            serving.push_back(serverName);
        }
    }
    for (const StandingChange& change : group.outliers.review(serving, _clock.now())) {
        ServerState& server = group.servers[change.server];
        const bool admitted = change.standing == ServerStanding::Admitted;
        if (change.standing == ServerStanding::OnProbation) {
            continue;
        }
        ++(admitted ? _statistics.serversAdmitted : _statistics.serversEjected);
        if (admitted && !isPrimary(group, server)) {
            server.inflightLimit = 1;
            server.slowness = 1;
        }
        LogEvent("pooling", LogLevel::Info, admitted ? "server.admitted" : "server.ejected")
            .field("group", name)
            .field("server", change.server)
            .field("primary", isPrimary(group, server))
            .field("standing", describe(change.standing))
            .field("requests", change.requests)
            .field("failures", change.failures)
            .field("slowness", change.slowness)
            .field(
                "ejected_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(change.ejectedFor).count());
    }
}

void StatementPooler::noteSlotTime(PooledSession& session, Duration took) {
    const UnitKind kind = unitKindOf(session);
    if (kind == UnitKind::Transaction) {
        session.transaction.slotTime += took;
        return;
    }
    groupOf(session).slotTimes.add(session.service, kind, took);
}

/** Records the slot time of a transaction that its caller committed or rolled back. */
void StatementPooler::noteTransactionTime(const PooledSession& session) {
    if (session.transaction.slotTime > Duration(0)) {
        groupOf(session).slotTimes.add(session.service, UnitKind::Transaction,
                                       session.transaction.slotTime);
    }
}

void StatementPooler::lowerLimit(ServerState& server, double factor) {
    const TimePoint now = _clock.now();
    if (now >= server.nextLowering) {
        server.nextLowering = now + _knobs.inflightDecreasePause;
        server.inflightLimit = std::max(1.0, server.inflightLimit * factor);
    }
}

/**
 * Pauses sending to a server that refuses, longer each time, because refused statements are retried
 * soon.
 */
void StatementPooler::noteBusy(ServerState& server) {
    server.busyPause = nextBackoff(server.busyPause, _knobs.busyPause, _knobs.longestBusyPause);
    server.busyUntil = _clock.now() + server.busyPause;
}

void StatementPooler::noteLagging(ServerState& server, OpTime floor) {
    ++_statistics.lagging;
    ++server.refusedLagging;
    server.catchUp.refuse(floor, _clock.now(), probePauses());
}

void StatementPooler::onSucceeded(ServerConnection& connection, PooledSession& session,
                                  StatementResult result) {
    const bool commits = commitsChanges(session);
    const bool inDoubt = commits && isCommitInDoubt(session, result);
    GroupState& group = groupOf(session);
    const bool isProven = !commits || isCommitCertain(group, result, _clock.now());
    if (!inDoubt && isProven) {
        noteFreshness(session, result, commits);
    }
    SessionTransaction& transaction = session.transaction;
    const bool ends = transaction.phase != TransactionPhase::Open ||
                      session.operation->statement.verb == StatementVerb::Commit;
    if (ends) {
        const SessionState state = result.state;
        if (transaction.phase == TransactionPhase::Open) {
            noteTransactionTime(session);
            forgetTransaction(session);
        }
        _connections.release(connection, state);
    } else if (connection.inflight) {
        _connections.noteIdleInTransaction(connection);
        markDirty(connection.group);
    }
    if (inDoubt) {
        reportInDoubt(session,
                      "a promotion was announced before the server acknowledged the commit");
        return;
    }
    if (!isProven) {
        holdCommit(group, session, std::move(result));
        return;
    }
    finishOperation(session, std::move(result));
}

void StatementPooler::onRefused(ServerConnection& connection, PooledSession& session,
                                StatementResult result) {
    noteFault(session, result.error->fault);
    if (session.transaction.phase == TransactionPhase::Open) {
        onTransactionRefused(connection, session, std::move(result));
        return;
    }
    onSingleRefused(connection, session, std::move(result));
}

void StatementPooler::onSingleRefused(ServerConnection& connection, PooledSession& session,
                                      StatementResult result) {
    const StatementFault fault = result.error->fault;
    if (fault == StatementFault::WrongServer || fault == StatementFault::UnknownName) {
        _connections.discard(connection.id);
    } else {
        _connections.release(connection, result.state);
    }
    if (isRetryable(fault)) {
        requeue(session, describe(fault));
        return;
    }
    finishOperation(session, std::move(result));
}

void StatementPooler::onTransactionRefused(ServerConnection& connection, PooledSession& session,
                                           StatementResult result) {
    const StatementFault fault = result.error->fault;
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    const bool stillOpen = result.state == SessionState::InTransaction;
    if (fault == StatementFault::Busy && stillOpen && now + _knobs.busyPause < operation.deadline) {
        operation.phase = OperationPhase::Queued;
        operation.notBefore = now + _knobs.busyPause;
        operation.lastObstacle = describe(fault);
        ++operation.attempts;
        _connections.noteIdleInTransaction(connection);
        wakeAt(session, operation.notBefore);
        return;
    }
    const bool commit = operation.statement.verb == StatementVerb::Commit;
    const bool wrote = session.transaction.wrote;
    connection.user.reset();
    _connections.rollBack(connection);
    if (!commit) {
        failTransaction(session);
        replyError(session, StatementFault::Aborted, result.error->message);
        return;
    }
    forgetTransaction(session);
    const bool nothingKept = provesNotRun(fault) || !wrote;
    replyError(session, nothingKept ? StatementFault::Aborted : StatementFault::InDoubt,
               result.error->message);
}

void StatementPooler::noteFault(PooledSession& session, StatementFault fault) {
    GroupState& group = groupOf(session);
    const Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    const auto server = group.servers.find(operation.server);
    if (server == group.servers.end()) {
        return;
    }
    switch (fault) {
        case StatementFault::Busy:
            ++server->second.refusedBusy;
            group.shares.noteRefused(operation.server, now);
            noteBusy(server->second);
            lowerLimit(server->second, _knobs.inflightDecrease);
            break;
        case StatementFault::ReadOnly:
            noteReadOnly(group, operation.server);
            break;
        case StatementFault::Lagging:
            noteLagging(server->second, operation.floor);
            break;
        case StatementFault::WrongServer:
            server->second.unreachable = true;
            server->second.nextConnect = now + _knobs.reconnectPause;
            break;
        case StatementFault::Failed:
        case StatementFault::Timeout:
            // Statements that only the primary runs do not allow a comparison with the other
            // servers.
            if (isSingleRead(session) &&
                session.settings.readRouting == settings::ReadRouting::Replica) {
                group.outliers.onFailure(operation.server, now);
            }
            break;
        default:
            break;
    }
}

void StatementPooler::notePosition(const ServerConnection& connection, OpTime position) {
    if (position.term == 0) {
        return;
    }
    GroupState& group = groupNamed(connection.group);
    const std::optional<Primary> primary = group.leadership.primary();
    const Term before = group.leadership.newestTerm();
    group.leadership.onPosition(connection.server, position, _clock.now());
    if (group.leadership.newestTerm() != before) {
        LogEvent("pooling", LogLevel::Info, "term.seen")
            .field("group", connection.group)
            .field("server", connection.server)
            .field("term", position.term);
        markDirty(group);
    }
    notifyIfPrimaryChanged(group, primary);
    if (ServerState* server = serverOf(connection)) {
        const TimePoint now = _clock.now();
        server->catchUp.observe(position, group.floors.lagOf(position, now), now);
    }
}

void StatementPooler::noteReadOnly(GroupState& group, const ServerName& server) {
    const std::optional<Primary> before = group.leadership.primary();
    group.leadership.onReadOnly(server, _clock.now());
    notifyIfPrimaryChanged(group, before);
}

void StatementPooler::notifyIfPrimaryChanged(const GroupState& group,
                                             const std::optional<Primary>& before) {
    if (group.leadership.primary() != before) {
        _output.primaryChanged(group.name);
    }
}

/** The statement did not run, or was only a read: it is retried while there is time. */
void StatementPooler::requeue(PooledSession& session, const char* obstacle) {
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    ++operation.attempts;
    ++_statistics.retries;
    operation.lastObstacle = obstacle;
    operation.phase = OperationPhase::Queued;
    if (now >= operation.holdUntil || operation.attempts >= kMaximumAttempts) {
        refuseAsBusy(session);
        return;
    }
    LogEvent("pooling", LogLevel::Info, "request.retried")
        .field("request", operation.statement.id)
        .field("group", session.group)
        .field("server", operation.server)
        .field("obstacle", obstacle)
        .field("attempts", operation.attempts);
    operation.avoided.insert(operation.server);
    operation.notBefore = now + _knobs.busyPause * (operation.attempts - 1);
    enqueue(session);
    if (operation.notBefore > now) {
        wakeAt(session, operation.notBefore);
    }
}

}  // namespace coralhoist::pooling
