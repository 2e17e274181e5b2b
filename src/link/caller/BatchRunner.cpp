#include "link/caller/BatchRunner.h"

#include <algorithm>
#include <utility>

namespace coralhoist::caller {
namespace {

using contract::ExecutionError;
using contract::RunState;

ExecutionError unknownGroup(const GroupName& group) {
    return {"3D000",
            "database group \"" + group.value() + "\" does not exist",
            "",
            "",
            RunState::NotRun,
            Duration{0}};
}

ExecutionError tokenFromFuture() {
    return {"22023",
            "session token is ahead of everything that the group has confirmed",
            "",
            "Use the token that the group's own answer has reported.",
            RunState::NotRun,
            Duration{0}};
}

ExecutionError tokenUnchecked() {
    constexpr Duration kPause = std::chrono::milliseconds(250);
    return {"57P03",
            "session token can't be checked: no majority of the group answers",
            "",
            "",
            RunState::NotRun,
            kPause};
}

ExecutionError cancelledBeforeRun() {
    return {"57014",    "canceling statement due to user request", "", "", RunState::NotRun,
            Duration{0}};
}

const char* runStateText(RunState state) {
    switch (state) {
        case RunState::NotRun:
            return "The request did not run.";
        case RunState::RolledBack:
            return "The request was rolled back.";
        case RunState::Unknown:
            return "The request may have run.";
        case RunState::Ran:
            return "The request has run.";
    }
    return "";
}

void appendSentence(std::string& text, const std::string& sentence) {
    if (!text.empty() && !sentence.empty()) {
        text += ' ';
    }
    text += sentence;
}

}  // namespace

pgwire::ResponseFields responseFields(const ExecutionError& error) {
    pgwire::ResponseFields fields;
    fields.sqlState = error.sqlState;
    fields.message = error.message;
    fields.detail = error.detail;
    appendSentence(fields.detail, runStateText(error.runState));
    fields.hint = error.hint;
    if (error.retryAfter > Duration{0}) {
        const auto pause = std::chrono::ceil<std::chrono::milliseconds>(error.retryAfter);
        appendSentence(fields.hint, "Retry after " + std::to_string(pause.count()) + " ms.");
    }
    return fields;
}

void BatchRunner::run(PendingBatch pending) {
    _pending = std::move(pending);
    _running = true;
    _heldBack = false;
    _cancelled = false;
    const auto settings = _context.settings->service(_state.group, _state.service);
    if (!settings) {
        refuse(unknownGroup(_state.group));
        return;
    }
    const std::optional<OpTime> floor = takeFloor();
    if (floor) {
        checkFloor(*floor, *settings);
    } else {
        submit(floor, *settings);
    }
}

/** Only a token that came with the batch itself, by tag or by SET just before it, may replace the
 * sample of a read: an older one may miss what the session did through another proxy. */
std::optional<OpTime> BatchRunner::takeFloor() {
    const std::optional<OpTime> presented = std::exchange(_state.presentedToken, std::nullopt);
    return std::max(presented, _pending.presentedToken);
}

void BatchRunner::checkFloor(OpTime floor, const settings::ServiceSettings& settings) {
    const std::optional<OpTime> known = _context.oracle.newestKnown(_state.group);
    if ((known && floor <= *known) || _context.confirmed.covers(_state.group, floor)) {
        submit(floor, settings);
        return;
    }
    ++_context.statistics.tokenSamples;
    const std::weak_ptr<bool> alive = _alive;
    _context.oracle.sample(_state.group, [this, alive, floor, settings](auto newest) {
        if (alive.expired()) {
            return;
        }
        if (newest) {
            _context.confirmed.observe(_state.group, *newest);
        }
        if (_cancelled) {
            refuse(cancelledBeforeRun());
        } else if (newest && floor <= *newest) {
            submit(floor, settings);
        } else {
            ++_context.statistics.tokensRefused;
            refuse(newest ? tokenFromFuture() : tokenUnchecked());
        }
    });
}

std::optional<std::string> BatchRunner::takeRequestKey() {
    // The key of an open transaction was handed over with its BEGIN.
    if (_state.transaction || !(_pending.writes || _pending.begins)) {
        return std::nullopt;
    }
    std::optional<std::string> key =
        _pending.requestKey ? _pending.requestKey : std::exchange(_state.requestKey, std::nullopt);
    _state.transactionKey = key;
    return key;
}

/** A transaction keeps the list with which it began: SET within it is a step, and applying a
 * changed list would undo a SET LOCAL. */
std::vector<contract::SessionParameter> BatchRunner::takeParameters() {
    if (!_state.transaction) {
        _state.sentParameters =
            _pending.sessionParameters ? *_pending.sessionParameters : _state.parameters.all();
    }
    return _state.sentParameters;
}

TimePoint BatchRunner::deadline(const settings::ServiceSettings& settings) const {
    Duration limit = settings.statementTimeout;
    const auto wished = parseTimeout(_state.parameters.value("statement_timeout").value_or("0"));
    if (wished && *wished > Duration{0}) {
        limit = std::min(limit, *wished);
    }
    return _context.clock.now() + limit;
}

void BatchRunner::submit(std::optional<OpTime> floor, const settings::ServiceSettings& settings) {
    _state.token = std::max(_state.token, floor);
    contract::ExecutionRequest request;
    request.id = _context.directory.nextRequestId();
    request.session = _state.id;
    request.group = _state.group;
    request.service = _state.service;
    request.batch = std::move(_pending.batch);
    request.serviceSettings = settings;
    request.deadline = deadline(settings);
    request.floor = floor;
    request.requestKey = takeRequestKey();
    request.transaction = _state.transaction;
    request.sessionParameters = takeParameters();
    _pending.batch.end = request.batch.end;
    _request = request.id;
    _submittedBefore = true;
    ++_context.statistics.batchesSubmitted;
    _context.executor.submit(std::move(request), *this);
}

void BatchRunner::refuse(ExecutionError error) {
    contract::ExecutionResult result;
    result.error = std::move(error);
    result.transactionStatus = _state.status;
    result.transaction = _state.transaction;
    finish(std::move(result));
}

bool BatchRunner::onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                                  bool stepComplete) {
    if (!_running || _request != id) {
        return true;
    }
    const bool hasRoom =
        _events.onBatchBytes(_pending.reply.onStepBytes(stepIndex, std::move(bytes), stepComplete));
    if (!hasRoom && !_heldBack) {
        _heldBack = true;
        ++_context.statistics.backPressurePauses;
    }
    return hasRoom;
}

void BatchRunner::onCompleted(RequestId id, contract::ExecutionResult result) {
    if (_running && _request == id) {
        finish(std::move(result));
    }
}

void BatchRunner::finish(contract::ExecutionResult result) {
    BatchOutcome outcome;
    std::string bytes;
    if (result.error && !_pending.reply.hasFailed()) {
        bytes = _pending.reply.takeLeading();
        bytes += pgwire::encodeErrorResponse(responseFields(*result.error));
    } else {
        bytes = _pending.reply.takeRest();
    }
    outcome.failed = result.error || _pending.reply.hasFailed();
    outcome.failedEntry = _pending.reply.position();
    count(result);
    outcome.batch = std::move(_pending);
    outcome.result = std::move(result);
    _pending = {};
    _running = false;
    _request.reset();
    _heldBack = false;
    if (!bytes.empty()) {
        _events.onBatchBytes(std::move(bytes));
    }
    _events.onBatchEnded(std::move(outcome));
}

void BatchRunner::count(const contract::ExecutionResult& result) const {
    CallerStatistics& statistics = _context.statistics;
    if (result.error || _pending.reply.hasFailed()) {
        ++statistics.batchesFailed;
    }
    if (_pending.writes || _pending.begins || _state.transaction) {
        ++statistics.writeBatches;
        return;
    }
    ++statistics.readBatches;
    if (result.servedByReplica) {
        ++statistics.readBatchesByReplica;
    }
}

void BatchRunner::onRoom() {
    if (_running && _heldBack && _request) {
        _heldBack = false;
        _context.executor.resume(*_request);
    }
}

void BatchRunner::cancel() {
    if (!_running) {
        return;
    }
    _cancelled = true;
    if (_request) {
        _context.executor.cancel(*_request);
    }
}

void BatchRunner::abandon() {
    _running = false;
    _request.reset();
    _alive.reset();
    if (std::exchange(_submittedBefore, false)) {
        _context.executor.endSession(_state.id);
    }
}

}  // namespace coralhoist::caller
