// Requests with a request key: claim, record, look-up and expiry of keys.
#include <string>
#include <utility>

#include "contract/ExecutorCore.h"
#include "contract/RequestKeyRecord.h"
#include "contract/RequestKeySql.h"
#include "contract/SqlStates.h"

namespace coralhoist::contract {
namespace {

constexpr std::uint32_t kTableCreationLimit = 2;

ParameterValue textValue(std::string text) {
    return {std::move(text), ValueFormat::Text};
}

}  // namespace

std::vector<ParameterValue> ExecutorCore::keyParameters(const RequestContext& context,
                                                        std::optional<std::string> third) const {
    std::vector<ParameterValue> parameters = {textValue(context.request.service.value()),
                                              textValue(*context.request.requestKey)};
    if (third) {
        parameters.push_back(textValue(std::move(*third)));
    }
    return parameters;
}

/**
 * Builds a program in which key and write share one transaction: either both take effect, exactly
 * once, or neither does.
 */
LabelledProgram ExecutorCore::buildKeyClaim(const RequestContext& context,
                                            const PoolLease& lease) const {
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyBegin, "BEGIN", ResultUse::Discard, false);
    builder.addStatement(CommandRole::KeyInsert, kInsertRequestKey, ResultUse::Discard, false,
                         keyParameters(context, fingerprintOf(context.request.batch)));
    if (lease.needsParameters) {
        builder.addParameters(context.request.sessionParameters);
    }
    builder.addSteps(context.request.batch, true);
    return builder.take();
}

void ExecutorCore::finishKeyClaim(const RequestPointer& context, ConnectionState state) {
    if (!_keysUsed) {
        _keysUsed = true;
        _nextKeyExpiry = _clock.now() + _knobs.keyExpiryInterval;
    }
    const CommandOutcome* begin = outcomeOf(*context, CommandRole::KeyBegin);
    const CommandOutcome* claim = outcomeOf(*context, CommandRole::KeyInsert);
    const bool begun = begin != nullptr && begin->kind == CommandOutcome::Kind::Succeeded;
    if (!begun || claim == nullptr) {
        releaseConnection(context, state);
        refuse(context, Refusal::RequestKeyFailed, begin != nullptr ? begin->message : "");
        return;
    }
    if (claim->kind != CommandOutcome::Kind::Succeeded) {
        onKeyClaimRefused(context, *claim);
        return;
    }
    if (anyStepFailed(*context) || state != ConnectionState::InTransaction) {
        // The database returned an error for the caller's statement; the key was rolled back with
        // the write.
        releaseConnection(context, state);
        reportSkippedBatch(context);
        context->outbox.release();
        finish(context);
        return;
    }
    if (context->outbox.heldBytes() > _knobs.recordedOutcomeLimit) {
        releaseConnection(context, state);
        refuse(context, Refusal::RequestKeyResultTooLarge);
        return;
    }
    startKeyCommit(context);
}

/**
 * Handles a failed insert of the key, e.g. because the request is a repeat, the key table is
 * missing, or the server is not the primary.
 */
void ExecutorCore::onKeyClaimRefused(const RequestPointer& context, const CommandOutcome& outcome) {
    const std::string sqlState = outcome.sqlState;
    if (sqlState == kUniqueViolation) {
        startKeyLookup(context);
        return;
    }
    if (sqlState == kUndefinedTable && context->tableCreations < kTableCreationLimit) {
        startKeyTableCreation(context);
        return;
    }
    const std::string message = outcome.message;
    releaseConnection(context, ConnectionState::InFailedTransaction);
    if (sqlState == kReadOnlyTransaction) {
        _sampler.takeTicket();
        restart(context);
    } else if (sqlState == kQueryCanceled) {
        refuse(context, Refusal::CancelledBeforeRun);
    } else {
        refuse(context, Refusal::RequestKeyFailed, message);
    }
}

void ExecutorCore::startKeyCommit(const RequestPointer& context) {
    context->stage = RequestStage::KeyCommit;
    std::vector<ParameterValue> parameters = keyParameters(*context, std::nullopt);
    parameters.push_back({encodeOutcome(context->outbox.held()), ValueFormat::Binary});
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyRecord, kRecordOutcome, ResultUse::Discard, false,
                         std::move(parameters));
    // Uses ResultUse::Forward only to get the encoded error when the commit fails.
    builder.addStatement(CommandRole::KeyCommit, "COMMIT", ResultUse::Forward, true);
    builder.addStatus(CommandRole::Status);
    runProgram(context, *context->connection, builder.take());
}

void ExecutorCore::finishKeyCommit(const RequestPointer& context, ConnectionState state) {
    const CommandOutcome* found = outcomeOf(*context, CommandRole::KeyCommit);
    const CommandOutcome commit = found != nullptr ? *found : CommandOutcome{};
    const CommandOutcome* recorded = outcomeOf(*context, CommandRole::KeyRecord);
    const std::string recordMessage = recorded != nullptr ? recorded->message : "";
    releaseConnection(context, state);
    if (commit.kind == CommandOutcome::Kind::Succeeded && commit.commandTag != kRollbackTag) {
        context->mayHaveCommitted = true;
        awaitAcknowledgement(context);
    } else if (commit.kind == CommandOutcome::Kind::Failed &&
               commit.sqlState.starts_with(kOperatorIntervention)) {
        context->mayHaveCommitted = true;
        restart(context);
    } else if (commit.kind == CommandOutcome::Kind::Failed) {
        context->outbox.add({context->request.batch.steps.size() - 1, commit.errorBytes, true},
                            _knobs.recordedOutcomeLimit * 2);
        context->outbox.release();
        finish(context);
    } else {
        refuse(context, Refusal::RequestKeyFailed, recordMessage);
    }
}

void ExecutorCore::startKeyLookup(const RequestPointer& context) {
    context->stage = RequestStage::KeyLookup;
    context->outbox.clearHeld();
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyRollback, "ROLLBACK", ResultUse::Discard, true);
    builder.addStatement(CommandRole::KeySelect, kSelectRequestKey, ResultUse::Capture, true,
                         keyParameters(*context, std::nullopt));
    builder.addStatus(CommandRole::Status);
    runProgram(context, *context->connection, builder.take());
}

/**
 * Answers a repeated request from its record, but only after a majority has confirmed the position
 * that was read.
 */
void ExecutorCore::finishKeyLookup(const RequestPointer& context, ConnectionState state) {
    const CommandOutcome* found = outcomeOf(*context, CommandRole::KeySelect);
    const CommandOutcome select = found != nullptr ? *found : CommandOutcome{};
    releaseConnection(context, state);
    if (select.kind != CommandOutcome::Kind::Succeeded) {
        refuse(context, Refusal::RequestKeyFailed, select.message);
        return;
    }
    if (select.rows.empty() || select.rows.front().values.size() != 2) {
        // The transaction that held the key was rolled back, or the key has just expired.
        restart(context);
        return;
    }
    const auto& values = select.rows.front().values;
    const bool explicitTransaction = context->plan.begins;
    const std::string expected = explicitTransaction ? std::string(kTransactionFingerprint)
                                                     : fingerprintOf(context->request.batch);
    if (values[0] != expected) {
        refuse(context, Refusal::RequestKeyMismatch);
        return;
    }
    if (explicitTransaction) {
        context->result.error = makeError(Refusal::RequestKeyAlreadyCommitted);
        awaitAcknowledgement(context);
        return;
    }
    auto pieces = values[1] ? decodeOutcome(*values[1]) : std::nullopt;
    if (!pieces) {
        refuse(context, Refusal::RequestKeyFailed, "the recorded outcome can't be read");
        return;
    }
    ++_statistics.answeredFromRecord;
    context->outbox.replaceHeld(std::move(*pieces));
    awaitAcknowledgement(context);
}

void ExecutorCore::startKeyTableCreation(const RequestPointer& context) {
    ++context->tableCreations;
    context->stage = RequestStage::KeyCreateTable;
    context->outbox.clearHeld();
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyRollback, "ROLLBACK", ResultUse::Discard, true);
    builder.addStatement(CommandRole::KeyCreateTable, kCreateRequestKeyTable, ResultUse::Discard,
                         true);
    runProgram(context, *context->connection, builder.take());
}

/**
 * Two proxies may create the table concurrently; the key claim that follows shows whether the table
 * exists.
 */
void ExecutorCore::finishKeyTableCreation(const RequestPointer& context, ConnectionState state) {
    releaseConnection(context, state);
    restart(context);
}

void ExecutorCore::expireKeys() {
    const TimePoint now = _clock.now();
    if (!_keysUsed || now < _nextKeyExpiry) {
        return;
    }
    _nextKeyExpiry = now + _knobs.keyExpiryInterval;
    if (_share.role != OwnerRole::Active || !_routing.primary) {
        return;
    }
    const auto lease = _pool.acquire(_routing.primary->server, {});
    if (!lease) {
        return;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::seconds>(_settings.requestKeyRetention);
    ProgramBuilder builder(_settings.statusQuery);
    builder.addStatement(CommandRole::KeyRecord, kDeleteExpiredRequestKeys, ResultUse::Discard,
                         true,
                         {textValue(std::to_string(age.count()) + " seconds"),
                          textValue(std::to_string(_knobs.keyExpiryBatch))});
    ConnectionUser user;
    user.kind = ConnectionUser::Kind::KeyExpiry;
    user.closeAt = now + _knobs.keyExpiryInterval;
    _users[lease->connection] = user;
    _connector.run(lease->connection, builder.take().program);
}

}  // namespace coralhoist::contract
