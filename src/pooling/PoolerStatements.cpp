/** Statements of callers: those that the pooler answers itself, and the start of the others. */
#include <algorithm>
#include <utility>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
void StatementPooler::submit(SessionId id, Statement statement) {
    PooledSession* session = findSession(id);
    if (session == nullptr || session->operation) {
        return;
    }
    ++_statistics.statements;
    session->activeAt = _clock.now();
    session->expectsStatement = false;
    session->transaction.lastActivity = session->activeAt;
    const TransactionPhase phase = session->transaction.phase;
    if (_stopping && phase == TransactionPhase::None) {
        refuseAsStopping(*session);
        settle();
        return;
    }
    if (phase == TransactionPhase::Failed) {
        endFailedTransaction(*session, statement);
        settle();
        return;
    }
    switch (statement.verb) {
        case StatementVerb::Begin:
        case StatementVerb::BeginReadOnly:
            beginTransaction(*session, statement);
            break;
        case StatementVerb::Set:
            setValue(*session, statement);
            break;
        case StatementVerb::Prepare:
            prepareShape(*session, statement);
            break;
        case StatementVerb::Close:
            closeShape(*session, statement);
            break;
        case StatementVerb::Rollback:
            rollBack(*session);
            replyCompleted(*session);
            break;
        case StatementVerb::Commit:
            if (phase == TransactionPhase::None) {
                replyError(*session, StatementFault::Malformed, "no transaction is open");
                break;
            }
            startOperation(*session, std::move(statement));
            break;
        case StatementVerb::Execute:
            if (!session->prepared.contains(statement.name)) {
                replyError(*session, StatementFault::UnknownName,
                           "no prepared statement of this name");
                break;
            }
            startOperation(*session, std::move(statement));
            break;
        case StatementVerb::Read:
        case StatementVerb::Write:
            startOperation(*session, std::move(statement));
            break;
    }
    settle();
}

/** A change of the service's settings applies from the next transaction of each session. */
bool StatementPooler::refreshSettings(PooledSession& session) {
    if (session.forwarded) {
        return true;
    }
    const CatalogEntry* entry = _catalog->find(session.service);
    if (entry == nullptr) {
        replyError(session, StatementFault::UnknownDatabase, "the service has been removed");
        _closing.push_back(session.id);
        return false;
    }
    session.group = entry->group;
    session.settings = entry->settings;
    return true;
}

void StatementPooler::beginTransaction(PooledSession& session, const Statement& statement) {
    if (session.transaction.phase != TransactionPhase::None) {
        replyError(session, StatementFault::Malformed, "a transaction is open already");
        return;
    }
    if (!refreshSettings(session)) {
        return;
    }
    startTransaction(session, statement);
    replyCompleted(session);
}

void StatementPooler::startTransaction(PooledSession& session, const Statement& begin) {
    const TimePoint now = _clock.now();
    session.transaction = SessionTransaction{};
    session.transaction.phase = TransactionPhase::Unstarted;
    session.transaction.begin = begin;
    session.transaction.arrivedAt = now;
    session.transaction.lastActivity = now;
    _openTransactions.insert(session.id);
}

void StatementPooler::setValue(PooledSession& session, const Statement& statement) {
    session.values[statement.name] = statement.argument;
    replyCompleted(session);
}

void StatementPooler::prepareShape(PooledSession& session, const Statement& statement) {
    session.prepared[statement.name] = shapeOf(statement.shapeKind, statement.argument);
    replyCompleted(session);
}

/** @return the shape with the name under which this process prepares it on servers. */
PreparedShape StatementPooler::shapeOf(ShapeKind kind, const std::string& shape) {
    const std::string key = (kind == ShapeKind::Write ? "w " : "r ") + shape;
    auto [name, added] = _shapeNames.try_emplace(key);
    if (added) {
        name->second = "p" + std::to_string(_shapeNames.size());
    }
    return {kind, shape, name->second};
}

void StatementPooler::closeShape(PooledSession& session, const Statement& statement) {
    session.prepared.erase(statement.name);
    replyCompleted(session);
}

void StatementPooler::endFailedTransaction(PooledSession& session, const Statement& statement) {
    SessionTransaction& transaction = session.transaction;
    if (statement.verb == StatementVerb::Rollback || statement.verb == StatementVerb::Commit) {
        forgetTransaction(session);
        if (statement.verb == StatementVerb::Commit) {
            replyError(session, StatementFault::Aborted, "the transaction had failed");
            return;
        }
        replyCompleted(session);
        return;
    }
    if (transaction.failureReported) {
        replyError(session, StatementFault::Malformed, "the transaction has failed; end it");
        return;
    }
    transaction.failureReported = true;
    replyError(session, StatementFault::Aborted, "the transaction was rolled back");
}

/** Ends the session's transaction on the server, or on the node that executes it. */
void StatementPooler::rollBack(PooledSession& session) {
    ServerConnection* connection = session.transaction.connection
                                       ? _connections.find(*session.transaction.connection)
                                       : nullptr;
    endUnit(session.transaction.unit);
    noteTransactionTime(session);
    forgetTransaction(session);
    if (connection != nullptr) {
        connection->user.reset();
        _connections.rollBack(*connection);
    }
}

void StatementPooler::refuse(SessionId id, const Statement& statement, StatementError error) {
    PooledSession* session = findSession(id);
    if (session == nullptr || session->operation) {
        return;
    }
    ++_statistics.statements;
    ++_statistics.failedByFault[static_cast<std::size_t>(error.fault)];
    session->activeAt = _clock.now();
    session->expectsStatement = false;
    if (session->transaction.phase != TransactionPhase::None) {
        rollBack(*session);
        if (statement.verb != StatementVerb::Commit) {
            startTransaction(*session, {});
            failTransaction(*session);
            session->transaction.failureReported = true;
        }
    }
    replyError(*session, std::move(error));
    settle();
}

bool StatementPooler::isWrite(const PooledSession& session, const Statement& statement) const {
    if (statement.verb != StatementVerb::Execute) {
        return statement.verb == StatementVerb::Write;
    }
    return session.prepared.at(statement.name).kind == ShapeKind::Write;
}

void StatementPooler::startOperation(PooledSession& session, Statement statement) {
    const bool inTransaction = session.transaction.phase != TransactionPhase::None;
    if (!inTransaction && !refreshSettings(session)) {
        return;
    }
    const TimePoint now = _clock.now();
    Operation operation;
    operation.statement = std::move(statement);
    operation.writes = isWrite(session, operation.statement);
    operation.arrivedAt = now;
    operation.consistentSince = inTransaction ? session.transaction.arrivedAt : now;
    operation.serial = ++_lastSerial;
    session.operation = std::move(operation);
    setTimes(session);
    if (session.transaction.unit) {
        forwardInTransaction(session);
        return;
    }
    if (session.transaction.phase == TransactionPhase::Open) {
        sendInTransaction(session);
        return;
    }
    enqueue(session);
}

SessionState StatementPooler::stateOf(const PooledSession& session) const {
    switch (session.transaction.phase) {
        case TransactionPhase::None:
            return SessionState::Idle;
        case TransactionPhase::Unstarted:
        case TransactionPhase::Open:
            return SessionState::InTransaction;
        case TransactionPhase::Failed:
            return SessionState::Failed;
    }
    return SessionState::Idle;
}

void StatementPooler::replyCompleted(const PooledSession& session) {
    queueReply(session, StatementResult{});
}

void StatementPooler::replyError(PooledSession& session, StatementFault fault,
                                 std::string message) {
    replyError(session, StatementError{fault, std::move(message)});
}

void StatementPooler::replyError(PooledSession& session, StatementError error) {
    StatementResult result;
    result.error = std::move(error);
    if (session.operation) {
        finishOperation(session, std::move(result));
        return;
    }
    queueReply(session, std::move(result));
}

void StatementPooler::queueReply(const PooledSession& session, StatementResult result) {
    result.state = stateOf(session);
    _replies.push_back({session.id, std::move(result)});
}

void StatementPooler::finishOperation(PooledSession& session, StatementResult result) {
    const TimePoint now = _clock.now();
    noteAsked(session, result);
    if (result.error) {
        const StatementFault fault = result.error->fault;
        ++_statistics.failedByFault[static_cast<std::size_t>(fault)];
        logFailure(session, fault, result.error->message);
    } else if (now - session.operation->arrivedAt > session.settings.latencyObjective) {
        logSlow(session);
    }
    _statistics.latency.add(now - session.operation->arrivedAt);
    session.operation.reset();
    session.activeAt = now;
    session.transaction.lastActivity = now;
    queueReply(session, std::move(result));
}

}  // namespace coralhoist::pooling
