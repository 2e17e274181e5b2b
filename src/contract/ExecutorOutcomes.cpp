// Processing of program results in the group executor.
#include <algorithm>
#include <utility>

#include "contract/ExecutorCore.h"
#include "contract/ReadFloor.h"
#include "contract/SqlStates.h"
#include "contract/StatusQuery.h"

namespace coralhoist::contract {

void ExecutorCore::onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                                  std::string bytes) {
    const auto user = _users.find(connection);
    if (user == _users.end() || user->second.kind != ConnectionUser::Kind::Request) {
        return;
    }
    const RequestPointer context = findRequest(user->second.request);
    const CommandLabel label = context->labels.at(commandIndex);
    if (label.role != CommandRole::Step || context->guardFailed || context->refusedAsReadOnly) {
        return;
    }
    const std::size_t limit = context->stage == RequestStage::KeyClaim
                                  ? _knobs.recordedOutcomeLimit * 2
                                  : _knobs.heldBytesLimit;
    if (context->stage == RequestStage::KeyClaim &&
        context->outbox.heldBytes() > _knobs.recordedOutcomeLimit) {
        return;
    }
    context->outbox.add({label.stepIndex, std::move(bytes), false}, limit);
    queueDelivery(context);
    settle();
}

void ExecutorCore::onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                                  CommandOutcome outcome) {
    if (_monitor.owns(connection)) {
        _monitor.onCommandEnded(connection, outcome, _clock.now());
        settle();
        return;
    }
    const auto user = _users.find(connection);
    if (user == _users.end()) {
        return;
    }
    if (user->second.kind != ConnectionUser::Kind::Request) {
        user->second.failed =
            user->second.failed || outcome.kind != CommandOutcome::Kind::Succeeded;
        return;
    }
    const RequestPointer context = findRequest(user->second.request);
    const CommandLabel label = context->labels.at(commandIndex);
    if (label.role == CommandRole::Guard) {
        onGuardEnded(context, outcome);
    } else if (label.role == CommandRole::Step) {
        onStepEnded(context, label.stepIndex, outcome);
    } else if (label.role == CommandRole::Status) {
        if (const auto status = readStatus(outcome)) {
            recordStatus(context->server, *status);
        }
    }
    context->outcomes.push_back(std::move(outcome));
    settle();
}

void ExecutorCore::recordStatus(const ServerName& server, const machine::ServerStatus& status) {
    _topology.onStatus(server, status, _clock.now());
}

/**
 * Evaluates the guard query. It verifies the read floor on the connection that runs the statement,
 * immediately before the statement.
 */
void ExecutorCore::onGuardEnded(const RequestPointer& context, const CommandOutcome& outcome) {
    const std::optional<machine::ServerStatus> status = readStatus(outcome);
    if (status) {
        recordStatus(context->server, *status);
        context->executionTerm = status->term;
    }
    const bool needsPrimary = !context->mayUseReplica();
    const bool wrongRole = status && needsPrimary && status->inRecovery;
    context->guardFailed = !status || wrongRole || !covers(*status, *context->floor);
}

void ExecutorCore::onStepEnded(const RequestPointer& context, std::size_t stepIndex,
                               const CommandOutcome& outcome) {
    if (context->guardFailed || context->refusedAsReadOnly ||
        outcome.kind == CommandOutcome::Kind::Skipped) {
        return;
    }
    const bool failed = outcome.kind == CommandOutcome::Kind::Failed;
    const bool movable = context->onReplica && !context->request.transaction &&
                         context->plan.readOnly && !context->outbox.hasReleased();
    if (failed && outcome.sqlState == kReadOnlyTransaction && movable) {
        context->refusedAsReadOnly = true;
        return;
    }
    context->outbox.add({stepIndex, failed ? outcome.errorBytes : std::string(), true},
                        _knobs.heldBytesLimit * 2);
    queueDelivery(context);
}

void ExecutorCore::onProgramEnded(ConnectionId connection, ConnectionState state) {
    if (_monitor.owns(connection)) {
        _monitor.onProgramEnded(connection, _clock.now());
        settle();
        return;
    }
    const auto found = _users.find(connection);
    if (found == _users.end()) {
        return;
    }
    const ConnectionUser user = found->second;
    if (user.kind == ConnectionUser::Kind::Request) {
        onRequestProgramEnded(findRequest(user.request), state);
    } else {
        finishInternalProgram(connection, state);
    }
    settle();
}

void ExecutorCore::onRequestProgramEnded(const RequestPointer& context, ConnectionState state) {
    if (context->readingPaused) {
        context->readingPaused = false;
        _connector.setReading(*context->connection, true);
    }
    switch (context->stage) {
        case RequestStage::Plain:
            if (context->request.transaction) {
                finishInTransaction(context, state);
            } else {
                finishPlain(context, state);
            }
            break;
        case RequestStage::KeyClaim:
            finishKeyClaim(context, state);
            break;
        case RequestStage::KeyCommit:
            finishKeyCommit(context, state);
            break;
        case RequestStage::KeyLookup:
            finishKeyLookup(context, state);
            break;
        case RequestStage::KeyCreateTable:
            finishKeyTableCreation(context, state);
            break;
    }
}

const CommandOutcome* ExecutorCore::outcomeOf(const RequestContext& context,
                                              CommandRole role) const {
    const std::size_t ended = std::min(context.labels.size(), context.outcomes.size());
    for (std::size_t index = 0; index < ended; ++index) {
        if (context.labels[index].role == role) {
            return &context.outcomes[index];
        }
    }
    return nullptr;
}

bool ExecutorCore::anyStepFailed(const RequestContext& context) const {
    const std::size_t ended = std::min(context.labels.size(), context.outcomes.size());
    for (std::size_t index = 0; index < ended; ++index) {
        const bool matters = context.labels[index].role == CommandRole::Step ||
                             context.labels[index].role == CommandRole::Parameter;
        if (matters && context.outcomes[index].kind == CommandOutcome::Kind::Failed) {
            return true;
        }
    }
    return false;
}

/**
 * Forwards the error of a failed commit of an implicit transaction, e.g. a violated deferred
 * constraint.
 */
void ExecutorCore::forwardCommitError(const RequestPointer& context) {
    const CommandOutcome* commit = outcomeOf(*context, CommandRole::ImplicitCommit);
    if (commit == nullptr || commit->kind != CommandOutcome::Kind::Failed) {
        return;
    }
    const std::size_t steps = context->request.batch.steps.size();
    context->outbox.add({steps > 0 ? steps - 1 : 0, commit->errorBytes, true},
                        _knobs.heldBytesLimit);
}

/** @return whether a command of the program committed a transaction. */
bool ExecutorCore::committed(const RequestContext& context) const {
    for (std::size_t index = 0; index < context.outcomes.size(); ++index) {
        const CommandLabel& label = context.labels[index];
        const CommandOutcome& outcome = context.outcomes[index];
        const bool commits =
            label.role == CommandRole::ImplicitCommit ||
            (label.role == CommandRole::Step &&
             context.request.batch.steps[label.stepIndex].kind == StatementKind::Commit);
        if (commits && outcome.kind == CommandOutcome::Kind::Succeeded &&
            outcome.commandTag != kRollbackTag) {
            return true;
        }
    }
    return false;
}

/** @return whether the request committed a write, or may have committed one. */
bool ExecutorCore::needsAcknowledgement(const RequestContext& context, bool hasWrites) const {
    if (!hasWrites) {
        return false;
    }
    const bool autocommit =
        !context.request.transaction && !context.plan.hasTransactionControl && !context.plan.flush;
    return committed(context) || (autocommit && !anyStepFailed(context));
}

/**
 * @return whether the server rejected the write because it is not the primary, before anything ran.
 */
bool ExecutorCore::reroutesRefusedWrite(const RequestContext& context) const {
    if (!context.isAutocommitWrite() || context.outbox.hasReleased() ||
        context.plan.hasTransactionControl) {
        return false;
    }
    const CommandOutcome* status = outcomeOf(context, CommandRole::Status);
    const auto reported = status != nullptr ? readStatus(*status) : std::nullopt;
    if (!reported || !reported->inRecovery) {
        return false;
    }
    return std::ranges::any_of(context.outcomes, [](const CommandOutcome& outcome) {
        return outcome.kind == CommandOutcome::Kind::Failed &&
               outcome.sqlState == kReadOnlyTransaction;
    });
}

void ExecutorCore::finishPlain(const RequestPointer& context, ConnectionState state) {
    if (context->guardFailed) {
        ++_statistics.guardFailures;
        releaseConnection(context, state);
        retryGuard(context);
        return;
    }
    if (context->refusedAsReadOnly) {
        // The classifier mistook a write for a read. Nothing ran; from now on the request counts as
        // a write.
        releaseConnection(context, state);
        context->plan.readOnly = false;
        context->plan.writes = true;
        context->outbox.hold();
        restart(context);
        return;
    }
    if (reroutesRefusedWrite(*context)) {
        releaseConnection(context, state);
        _sampler.takeTicket();
        restart(context);
        return;
    }
    const CommandOutcome* key = outcomeOf(*context, CommandRole::KeyInsert);
    if (key != nullptr && key->kind == CommandOutcome::Kind::Failed) {
        onKeyClaimRefused(context, *key);
        return;
    }
    const bool acknowledge = needsAcknowledgement(*context, context->plan.writes);
    const bool open =
        state == ConnectionState::InTransaction || state == ConnectionState::InFailedTransaction;
    if (open) {
        pin(context, state);
    } else {
        releaseConnection(context, state);
    }
    completeWithOutcome(context, acknowledge);
}

void ExecutorCore::finishInTransaction(const RequestPointer& context, ConnectionState state) {
    Transaction& transaction = *_transactions.find(*context->request.transaction);
    const bool acknowledge = needsAcknowledgement(*context, transaction.hasWrites);
    const bool implicitEnds = transaction.implicit && !context->plan.flush;
    const bool open = !implicitEnds && (state == ConnectionState::InTransaction ||
                                        state == ConnectionState::InFailedTransaction);
    if (!open) {
        forwardCommitError(context);
        unpin(context, transaction, state);
        completeWithOutcome(context, acknowledge);
        return;
    }
    releaseSlot(context);
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::Transaction;
    _users[*context->connection] = user;
    context->connection.reset();
    transaction.failed = state == ConnectionState::InFailedTransaction;
    transaction.hasWrites = transaction.hasWrites && !acknowledge;
    context->result.transaction = transaction.id;
    context->result.transactionStatus = transaction.status();
    completeWithOutcome(context, acknowledge);
}

void ExecutorCore::completeWithOutcome(const RequestPointer& context, bool acknowledge) {
    context->result.servedByReplica = context->onReplica;
    reportSkippedBatch(context);
    if (acknowledge) {
        awaitAcknowledgement(context);
        return;
    }
    if (context->plan.readOnly) {
        ++(context->onReplica ? _statistics.readsServedByReplica
                              : _statistics.readsServedByPrimary);
    }
    context->outbox.release();
    finish(context);
}

/**
 * Reports an error for a batch that was skipped because a command that the proxy had put before it
 * failed.
 */
void ExecutorCore::reportSkippedBatch(const RequestPointer& context) {
    for (const CommandRole role : {CommandRole::Parameter, CommandRole::ImplicitBegin}) {
        const CommandOutcome* outcome = outcomeOf(*context, role);
        if (outcome != nullptr && outcome->kind == CommandOutcome::Kind::Failed) {
            context->result.error = ExecutionError{outcome->sqlState,
                                                   outcome->message,
                                                   "a command in front of the batch was refused",
                                                   "",
                                                   RunState::NotRun,
                                                   Duration(0)};
        }
    }
}

}  // namespace coralhoist::contract
