/** Planned stop: how open statements and transactions are ended. */
#include <vector>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Reason given when a planned stop refuses a statement or ends a transaction. */
constexpr const char* kStopping = "the node is stopping";

}  // namespace

void StatementPooler::refuseAsStopping(PooledSession& session) {
    // Another node can serve the caller at once.
    replyError(session, notRun(kStopping, Duration(0)));
    _closing.push_back(session.id);
}

void StatementPooler::finishWork() {
    _stopping = true;
    std::vector<SessionId> idleSessions;
    for (const SessionId id : _openTransactions) {
        const PooledSession& session = _sessions.at(id);
        if (!session.operation && session.transaction.phase != TransactionPhase::Failed) {
            idleSessions.push_back(id);
        }
    }
    for (const SessionId id : idleSessions) {
        endTransaction(_sessions.at(id), kStopping);
    }
    settle();
}

void StatementPooler::answerAll() {
    _stopping = true;
    std::vector<SessionId> open;
    for (const auto& [id, session] : _sessions) {
        open.push_back(id);
    }
    for (const SessionId id : open) {
        PooledSession& session = _sessions.at(id);
        if (session.operation) {
            giveUp(session, "the node stops before the answer");
        }
        _closing.push_back(id);
    }
    settle();
}

/**
 * Stops waiting for the response: the reply to the caller states what is known of the statement.
 */
void StatementPooler::giveUp(PooledSession& session, const char* reason) {
    switch (session.operation->phase) {
        case OperationPhase::Queued:
            giveUpQueued(session, reason);
            return;
        case OperationPhase::Beginning:
            _connections.discard(session.operation->connection);
            failTransaction(session);
            replyError(session, StatementFault::Aborted, reason);
            return;
        case OperationPhase::Sent:
            giveUpSent(session, reason);
            return;
        case OperationPhase::Acknowledged:
            reportInDoubt(session, reason);
            return;
    }
}

void StatementPooler::giveUpQueued(PooledSession& session, const char* reason) {
    if (session.transaction.phase == TransactionPhase::None) {
        refuseAsStopping(session);
        return;
    }
    ServerConnection* connection = session.transaction.connection
                                       ? _connections.find(*session.transaction.connection)
                                       : nullptr;
    if (session.operation->statement.verb == StatementVerb::Commit) {
        forgetTransaction(session);
    } else {
        failTransaction(session);
    }
    replyError(session, StatementFault::Aborted, reason);
    if (connection != nullptr) {
        _connections.rollBack(*connection);
    }
}

/** A response that arrives later is discarded; the connection of a write is closed. */
void StatementPooler::giveUpSent(PooledSession& session, const char* reason) {
    const bool readsOnly = isSingleRead(session);
    if (session.operation->unit) {
        endUnit(session.operation->unit);
        session.transaction.unit.reset();
    } else if (ServerConnection* connection = _connections.find(session.operation->connection);
               readsOnly && connection != nullptr) {
        _connections.abandon(*connection);
    } else {
        _connections.discard(session.operation->connection);
    }
    if (readsOnly) {
        replyError(session, StatementFault::Timeout, reason);
        return;
    }
    onSentLost(session, reason);
}

}  // namespace coralhoist::pooling
