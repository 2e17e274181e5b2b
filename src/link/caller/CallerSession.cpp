#include "link/caller/CallerSession.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "link/caller/BatchAssembly.h"
#include "link/caller/SessionStartup.h"

namespace coralhoist::caller {
namespace {

using contract::BatchEnd;
using contract::TransactionStatus;

constexpr const char* kProtocolViolation = "08P01";
constexpr const char* kFeatureNotSupported = "0A000";
constexpr const char* kAdminShutdown = "57P01";

pgwire::ResponseFields fatal(std::string sqlState, std::string message) {
    pgwire::ResponseFields fields;
    fields.severity = pgwire::Severity::Fatal;
    fields.sqlState = std::move(sqlState);
    fields.message = std::move(message);
    return fields;
}

pgwire::FramerLimits framerLimits(const CallerContext& context) {
    pgwire::FramerLimits limits;
    limits.messageBytes = context.limits.messageBytes;
    return limits;
}

}  // namespace

CallerSession::CallerSession(const CallerContext& context, SessionId id, CancelIdentity identity,
                             SessionOutput& output)
    : _context(context),
      _identity(identity),
      _output(output),
      _planner(context, _state),
      _extended(context, _state, _planner),
      _runner(context, _state, *this),
      _framer(framerLimits(context)) {
    _state.id = id;
}

CallerSession::~CallerSession() {
    disconnect();
}

void CallerSession::disconnect() {
    _phase = Phase::Closed;
    _runner.abandon();
    if (std::exchange(_admitted, false)) {
        _context.directory.release(_state.group, _state.service);
    }
}

void CallerSession::receive(const QByteArray& bytes) {
    if (_phase == Phase::Closed) {
        return;
    }
    _framer.feed(bytes);
    processInput();
}

bool CallerSession::wantsInput() const {
    const bool waits = _runner.isRunning() || !_output.hasRoom();
    const auto most = static_cast<qsizetype>(_context.limits.waitingInputBytes);
    return _phase != Phase::Closed && (!waits || _framer.bufferedBytes() < most);
}

void CallerSession::onOutputDrained() {
    _runner.onRoom();
    processInput();
}

void CallerSession::processInput() {
    if (_processing) {
        return;
    }
    _processing = true;
    while (_phase != Phase::Closed && !_runner.isRunning() && _output.hasRoom() && processNext()) {
    }
    _processing = false;
    closeIfDrained();
}

/** @return whether there was a message. */
bool CallerSession::processNext() {
    StatusWith<std::optional<pgwire::RawMessage>> next = _framer.next();
    if (!next.isOk()) {
        failConnection(fatal(kProtocolViolation, next.status().message()));
        return false;
    }
    if (!next.value()) {
        return false;
    }
    if (_phase == Phase::Startup) {
        onStartupPacket(next.value()->payload);
    } else {
        onMessage(*next.value());
    }
    return true;
}

void CallerSession::onStartupPacket(const QByteArray& payload) {
    const StatusWith<pgwire::StartupPacket> packet = pgwire::parseStartupPacket(payload);
    if (!packet.isOk()) {
        failConnection(fatal(kProtocolViolation, packet.status().message()));
        return;
    }
    if (const auto* message = std::get_if<pgwire::StartupMessage>(&packet.value())) {
        start(*message);
    } else if (const auto* request = std::get_if<pgwire::CancelRequest>(&packet.value())) {
        _context.directory.cancel(request->processId, request->secretKey);
        _phase = Phase::Closed;
        _output.close();
    } else {
        _output.send(std::string(1, pgwire::kEncryptionDeclined));
        _output.flush();
    }
}

void CallerSession::start(const pgwire::StartupMessage& message) {
    if (const auto refusal = openSession(message, _context, _state)) {
        ++_context.statistics.connectionsRefused;
        failConnection(*refusal);
        return;
    }
    _admitted = true;
    _phase = Phase::Ready;
    _framer.enterRegularPhase();
    ++_context.statistics.sessionsStarted;
    startBatch();
    _output.send(negotiateProtocol(message));
    pgwire::BackendMessageWriter writer;
    writer.authenticationOk();
    _output.send(writer.take() + _report.initial(_context, _state));
    writer.backendKeyData(_identity.processId, _identity.secretKey);
    writer.readyForQuery(TransactionStatus::Idle);
    _output.send(writer.take());
    _output.flush();
}

void CallerSession::onMessage(const pgwire::RawMessage& raw) {
    StatusWith<pgwire::FrontendMessage> message = pgwire::parseFrontendMessage(raw);
    if (!message.isOk()) {
        failConnection(fatal(kProtocolViolation, message.status().message()));
        return;
    }
    const bool endsSkipping = std::holds_alternative<pgwire::Sync>(message.value()) ||
                              std::holds_alternative<pgwire::Terminate>(message.value());
    if (_skippingToSync && !endsSkipping) {
        return;
    }
    std::visit([this](auto&& each) { handle(std::forward<decltype(each)>(each)); },
               std::move(message).value());
}

void CallerSession::handle(pgwire::Query message) {
    _extended.settleDescribe(_pending);
    _state.prepared.erase("", _pending.reply.size());
    _state.prepared.erasePortal("");
    const auto refusal = appendSimpleQuery(std::move(message.sql), _context, _planner, _pending);
    if (refusal) {
        refuseBatch(*refusal);
        handle(pgwire::Sync{});
        return;
    }
    runPending(BatchEnd::Sync);
}

void CallerSession::handle(pgwire::Parse message) {
    afterExtended(_extended.onParse(std::move(message), _pending));
}

void CallerSession::handle(pgwire::Bind message) {
    afterExtended(_extended.onBind(std::move(message), _pending));
}

void CallerSession::handle(const pgwire::Describe& message) {
    afterExtended(_extended.onDescribe(message, _pending));
}

void CallerSession::handle(const pgwire::Execute& message) {
    afterExtended(_extended.onExecute(message, _pending));
}

void CallerSession::handle(const pgwire::Close& message) {
    afterExtended(_extended.onClose(message, _pending));
}

void CallerSession::handle(const pgwire::Sync& /*message*/) {
    _skippingToSync = false;
    _extended.settleDescribe(_pending);
    if (std::exchange(_state.abortAtSync, false)) {
        runImplicitRollback();
    } else {
        runPending(BatchEnd::Sync);
    }
}

void CallerSession::handle(const pgwire::Flush& /*message*/) {
    _extended.settleDescribe(_pending);
    runPending(BatchEnd::Flush);
}

void CallerSession::handle(const pgwire::Terminate& /*message*/) {
    disconnect();
    _output.close();
}

void CallerSession::handle(const pgwire::PasswordMessage& /*message*/) {
    failConnection(fatal(kProtocolViolation, "unexpected password message"));
}

/** Outside of COPY, PostgreSQL ignores these too: the caller may not have seen the error yet. */
void CallerSession::handle(const pgwire::CopyMessage& /*message*/) {}

void CallerSession::handle(const pgwire::FunctionCall& /*message*/) {
    refuseBatch(notRun(kFeatureNotSupported, "the function call message is not supported"));
    handle(pgwire::Sync{});
}

void CallerSession::afterExtended(const ExtendedQuery::Refusal& refusal) {
    if (refusal) {
        refuseBatch(*refusal);
        return;
    }
    const SessionLimits& limits = _context.limits;
    if (_pending.batch.steps.size() >= limits.batchSteps || _pending.bytes >= limits.batchBytes) {
        handle(pgwire::Flush{});
    }
}

void CallerSession::startBatch() {
    _pending = {};
    _pending.inTransaction = _state.status != TransactionStatus::Idle;
    _pending.parametersBefore = _state.parameters;
}

void CallerSession::runPending(BatchEnd end) {
    const bool endsImplicit = end == BatchEnd::Sync && _state.hasImplicitTransaction();
    if (_pending.reply.hasSteps() || endsImplicit) {
        _pending.batch.end = end;
        _runner.run(std::exchange(_pending, {}));
        return;
    }
    _output.send(_pending.reply.takeRest());
    _state.prepared.keepChanges();
    startBatch();
    if (end == BatchEnd::Sync) {
        endOfStatementBatch();
        finishSync();
    } else {
        _output.flush();
    }
}

/** A part of an implicit transaction has run, a later part was refused: all of it goes. */
void CallerSession::runImplicitRollback() {
    startBatch();
    contract::StatementStep step;
    step.kind = contract::StatementKind::Rollback;
    step.sql = "ROLLBACK";
    appendStep(std::move(step), StepReply::Discarded, _pending);
    runPending(BatchEnd::Sync);
}

/**
 * Refuses the batch under construction as a whole: none of its steps is handed over, since those of
 * one implicit transaction could not be undone afterwards.
 */
void CallerSession::refuseBatch(const pgwire::ResponseFields& fields) {
    ++_context.statistics.statementsRefused;
    _extended.forgetDescribe();
    _output.send(_pending.reply.takeLeading() + pgwire::encodeErrorResponse(fields));
    _output.flush();
    _state.prepared.undoAfter(_pending.reply.position());
    _state.parameters = std::move(_pending.parametersBefore);
    if (_state.status != TransactionStatus::Idle) {
        _state.failedLocally = true;
    } else if (_state.hasImplicitTransaction()) {
        _state.abortAtSync = true;
    }
    _skippingToSync = true;
    startBatch();
}

bool CallerSession::onBatchBytes(std::string bytes) {
    if (_phase != Phase::Closed && !bytes.empty()) {
        _output.send(bytes);
    }
    return _output.hasRoom();
}

void CallerSession::onBatchEnded(BatchOutcome outcome) {
    applyOutcome(outcome);
    startBatch();
    if (outcome.batch.batch.end == BatchEnd::Sync) {
        endOfStatementBatch();
        finishSync();
    } else {
        _skippingToSync = outcome.failed;
        _state.abortAtSync = outcome.failed && _state.hasImplicitTransaction();
        _output.flush();
    }
    processInput();
}

void CallerSession::applyOutcome(const BatchOutcome& outcome) {
    const contract::ExecutionResult& result = outcome.result;
    _tokenDue = _tokenDue || outcome.batch.writes || _state.transaction.has_value();
    _state.status = result.transactionStatus;
    _state.transaction = result.transaction;
    _state.token = std::max(_state.token, result.observed);
    if (result.observed) {
        _context.confirmed.observe(_state.group, *result.observed);
    }
    if (outcome.failed) {
        _state.prepared.undoAfter(outcome.failedEntry);
        _state.parameters = outcome.batch.parametersBefore;
    } else {
        _state.prepared.keepChanges();
    }
    const bool transactionEnded =
        _state.status == TransactionStatus::Idle && !_state.hasImplicitTransaction();
    if (transactionEnded) {
        _state.transactionKey.reset();
        if (outcome.failed) {
            _state.parameters.rollback();
        }
    }
    if (transactionEnded || (!outcome.failed && outcome.batch.rollsBackToSavepoint)) {
        _state.failedLocally = false;
    }
}

/** What PostgreSQL does when an implicit transaction ends. */
void CallerSession::endOfStatementBatch() {
    if (_state.status == TransactionStatus::Idle) {
        _state.parameters.commit();
        _state.prepared.erasePortals();
    }
}

void CallerSession::finishSync() {
    if (_phase == Phase::Closed) {
        return;
    }
    _skippingToSync = false;
    std::string bytes = _report.changes(_state);
    if (std::exchange(_tokenDue, false)) {
        bytes += _report.tokenChange(_state);
    }
    pgwire::BackendMessageWriter writer;
    writer.readyForQuery(_state.visibleStatus());
    _output.send(bytes + writer.bytes());
    _output.flush();
}

bool CallerSession::isIdle() const {
    return !_runner.isRunning() && _pending.reply.size() == 0 && !_skippingToSync &&
           _state.visibleStatus() == TransactionStatus::Idle && !_state.transaction;
}

void CallerSession::drain() {
    _draining = true;
    closeIfDrained();
}

void CallerSession::closeIfDrained() {
    if (!_draining || _processing || _phase == Phase::Closed || !isIdle()) {
        return;
    }
    if (_phase == Phase::Ready) {
        ++_context.statistics.sessionsDrained;
    }
    failConnection(
        fatal(kAdminShutdown, "terminating connection: the proxy is stopping, reconnect"));
}

bool CallerSession::cancel(std::int32_t secretKey) {
    if (secretKey != _identity.secretKey || _phase != Phase::Ready) {
        return false;
    }
    _runner.cancel();
    return true;
}

void CallerSession::failConnection(const pgwire::ResponseFields& fields) {
    if (fields.sqlState == kProtocolViolation) {
        ++_context.statistics.protocolViolations;
    }
    _output.send(pgwire::encodeErrorResponse(fields));
    _output.flush();
    disconnect();
    _output.close();
}

}  // namespace coralhoist::caller
