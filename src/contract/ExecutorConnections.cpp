// Connections of the group executor: opening, pinning, release, reset and loss.
#include <string>
#include <utility>

#include "contract/ExecutorCore.h"
#include "contract/ProgramBuilder.h"

namespace coralhoist::contract {

void ExecutorCore::onOpened(ConnectionId connection) {
    if (_monitor.owns(connection)) {
        _monitor.onOpened(connection, _clock.now());
    } else if (_pool.owns(connection)) {
        _pool.onOpened(connection);
    }
    settle();
}

void ExecutorCore::onOpenFailed(ConnectionId connection) {
    if (_monitor.owns(connection)) {
        _monitor.onOpenFailed(connection, _clock.now());
    } else if (_pool.owns(connection)) {
        _pool.onOpenFailed(connection, _clock.now());
        _sampler.takeTicket();
    }
    settle();
}

void ExecutorCore::onLost(ConnectionId connection, bool sent, const std::string& message) {
    _sampler.takeTicket();
    ++_statistics.connectionsLost;
    if (_monitor.owns(connection)) {
        _monitor.onLost(connection, _clock.now());
        settle();
        return;
    }
    if (!_pool.owns(connection)) {
        return;
    }
    const ServerName server = _pool.serverOf(connection);
    _pool.onLost(connection);
    if (const auto found = _users.find(connection); found != _users.end()) {
        const ConnectionUser user = found->second;
        _users.erase(found);
        if (user.slot) {
            _queues[server].finish(*user.slot);
        }
        if (user.kind == ConnectionUser::Kind::Request) {
            onRequestLost(findRequest(user.request), sent, message);
        } else if (user.kind == ConnectionUser::Kind::Transaction) {
            _transactions.onConnectionLost(connection);
        }
    }
    settle();
}

void ExecutorCore::onRequestLost(const RequestPointer& context, bool sent,
                                 const std::string& message) {
    context->connection.reset();
    context->readingPaused = false;
    releaseSlot(context);
    if (context->request.transaction) {
        onTransactionRequestLost(context, sent, message);
        return;
    }
    const bool maySurvive = sent && context->isAutocommitWrite();
    if (context->stage != RequestStage::Plain) {
        // Only a COMMIT that was sent can have taken effect. The repeated claim of the key shows
        // whether it did.
        context->mayHaveCommitted =
            context->mayHaveCommitted || (sent && context->stage == RequestStage::KeyCommit);
        restart(context);
    } else if (maySurvive && anyStepFailed(*context) && !context->plan.hasTransactionControl) {
        context->outbox.release();
        finish(context);
    } else if (maySurvive) {
        refuse(context, Refusal::OutcomeUnknown, message);
    } else if (context->outbox.hasReleased()) {
        refuse(context, Refusal::ResultInterrupted, message);
    } else {
        restart(context);
    }
}

void ExecutorCore::onTransactionRequestLost(const RequestPointer& context, bool sent,
                                            const std::string& message) {
    Transaction& transaction = *_transactions.find(*context->request.transaction);
    const bool implicitEnds = transaction.implicit && !context->plan.flush;
    const bool mayCommit = context->plan.commits || implicitEnds;
    const bool unknown = sent && mayCommit && transaction.hasWrites && !anyStepFailed(*context);
    transaction.connection.reset();
    if (context->plan.endsTransaction || implicitEnds) {
        _transactions.erase(transaction.id);
        context->request.transaction.reset();
    }
    refuse(context, unknown ? Refusal::OutcomeUnknown : Refusal::TransactionConnectionLost,
           message);
}

/** Handles the end of a program that no longer belongs to a request. */
void ExecutorCore::finishInternalProgram(ConnectionId connection, ConnectionState state) {
    const ConnectionUser user = _users.at(connection);
    if (user.slot) {
        _queues[_pool.serverOf(connection)].finish(*user.slot);
    }
    _users.erase(connection);
    const bool clean =
        user.kind == ConnectionUser::Kind::Reset || user.kind == ConnectionUser::Kind::KeyExpiry;
    if (state != ConnectionState::Idle || (clean && user.failed)) {
        _pool.discard(connection);
    } else if (clean) {
        _pool.release(connection, {});
    } else {
        resetConnection(connection);
    }
}

/** Keeps the connection for the following batches of the session. */
void ExecutorCore::pin(const RequestPointer& context, ConnectionState state) {
    const ExecutionRequest& request = context->request;
    Transaction transaction;
    transaction.session = request.session;
    transaction.server = context->server;
    transaction.connection = context->connection;
    transaction.onReplica = context->onReplica;
    transaction.term = context->onReplica ? 0 : context->executionTerm;
    transaction.implicit = context->opensImplicitTransaction();
    transaction.failed = state == ConnectionState::InFailedTransaction;
    transaction.hasWrites = context->plan.writes;
    // A rollback also undoes parameters that were applied together with BEGIN.
    transaction.changesSession = context->plan.changesSession || context->appliedSessionState;
    transaction.parameters = request.sessionParameters;
    transaction.idleTimeout = request.serviceSettings.idleInTransactionTimeout;
    transaction.lastActivity = _clock.now();
    transaction.totalDeadline = _clock.now() + request.serviceSettings.transactionTimeout;
    transaction.floor = context->floor;
    const Transaction& added = _transactions.add(std::move(transaction));
    context->result.transaction = added.id;
    context->result.transactionStatus = added.status();
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::Transaction;
    _users[*context->connection] = user;
    context->connection.reset();
    releaseSlot(context);
}

/** Handles the end of the transaction on the server. */
void ExecutorCore::unpin(const RequestPointer& context, Transaction& transaction,
                         ConnectionState state) {
    context->appliedSessionState = transaction.changesSession;
    context->plan.changesSession = transaction.changesSession;
    _transactions.erase(transaction.id);
    context->request.transaction.reset();
    releaseConnection(context, state);
}

void ExecutorCore::releaseSlot(const RequestPointer& context) {
    if (context->slot) {
        _queues[context->server].finish(*context->slot);
        context->slot.reset();
    }
}

void ExecutorCore::releaseConnection(const RequestPointer& context, ConnectionState state) {
    const ConnectionId connection = *context->connection;
    context->connection.reset();
    releaseSlot(context);
    _users.erase(connection);
    if (state == ConnectionState::Idle) {
        const bool unknown = context->plan.changesSession ||
                             (context->appliedSessionState && anyStepFailed(*context));
        if (unknown) {
            resetConnection(connection);
        } else {
            _pool.release(connection, context->request.sessionParameters);
        }
    } else if (state == ConnectionState::Unknown) {
        _pool.discard(connection);
    } else {
        rollBackConnection(connection);
    }
}

void ExecutorCore::resetConnection(ConnectionId connection) {
    if (_pool.isCancelled(connection)) {
        _pool.discard(connection);
        return;
    }
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::Reset;
    user.closeAt = _clock.now() + _knobs.abandonedProgramTimeout;
    _users[connection] = user;
    ProgramBuilder builder(_settings.statusQuery);
    _connector.run(connection, builder.addReset().take().program);
}

/**
 * Sends a cancel request. It travels on a separate connection and may arrive after the program has
 * ended.
 */
void ExecutorCore::cancelProgram(ConnectionId connection) {
    _pool.markCancelled(connection);
    _connector.cancel(connection);
}

void ExecutorCore::rollBackConnection(ConnectionId connection) {
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::Rollback;
    user.closeAt = _clock.now() + _knobs.abandonedProgramTimeout;
    _users[connection] = user;
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyRollback, "ROLLBACK", ResultUse::Discard, true);
    _connector.run(connection, builder.take().program);
}

/** Detaches a request that is completed or withdrawn while its program still runs. */
void ExecutorCore::abandon(const RequestPointer& context, bool close) {
    const ConnectionId connection = *context->connection;
    context->connection.reset();
    if (close) {
        releaseSlot(context);
        _users.erase(connection);
        _pool.discard(connection);
        return;
    }
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::Abandoned;
    user.slot = std::exchange(context->slot, std::nullopt);
    user.closeAt = _clock.now() + _knobs.abandonedProgramTimeout;
    _users[connection] = user;
    if (context->readingPaused) {
        _connector.setReading(connection, true);
    }
    if (context->stage != RequestStage::KeyCommit) {
        cancelProgram(connection);
    }
}

/**
 * Rolls back an idle transaction and leaves its tombstone.
 * @param unreported the reason to report with the session's next statement, when no request is in
 * progress that could report it.
 */
void ExecutorCore::abortTransaction(Transaction& transaction, bool close,
                                    std::optional<Refusal> unreported) {
    transaction.unreportedReason = unreported;
    const ConnectionId connection = *transaction.connection;
    transaction.connection.reset();
    if (close) {
        _users.erase(connection);
        _pool.discard(connection);
    } else {
        rollBackConnection(connection);
    }
}

}  // namespace coralhoist::contract
