#include "link/backend/ProgramRunner.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace coralhoist::backend {
namespace {

using contract::BackendCommand;
using contract::CommandOutcome;
using contract::ResultUse;
using contract::StatementStep;

/** The unnamed statement: it outlives neither the next one nor the connection's reset. */
constexpr const char* kUnnamedStatement = "";

/**
 * Runs in place of a statement with a zero byte in a text parameter. libpq would cut such a value
 * off; the server has to refuse it, with 22021, and to fail the transaction as it does by itself.
 */
constexpr const char* kRefusedText = "SELECT convert_from('\\x00', 'UTF8')";

bool hasZeroByteInText(const StatementStep& step) {
    return std::ranges::any_of(step.parameters, [](const contract::ParameterValue& parameter) {
        return parameter.format == contract::ValueFormat::Text && parameter.bytes &&
               parameter.bytes->find('\0') != std::string::npos;
    });
}

std::vector<Oid> typeList(const StatementStep& step) {
    std::vector<Oid> types(step.parameterTypes.begin(), step.parameterTypes.end());
    types.resize(std::max(types.size(), step.parameters.size()), InvalidOid);
    return types;
}

/** The server ends the session after an error of these severities. */
bool endsSession(const PGresult* result) {
    const char* severity = PQresultErrorField(result, PG_DIAG_SEVERITY_NONLOCALIZED);
    if (severity == nullptr) {
        severity = PQresultErrorField(result, PG_DIAG_SEVERITY);
    }
    const std::string text = severity == nullptr ? "" : severity;
    return text == "FATAL" || text == "PANIC";
}

}  // namespace

ProgramRunner::ProgramRunner(ConnectionId id, PGconn* connection, contract::BackendEvents& events,
                             const ConnectorOptions& options)
    : _id(id),
      _connection(connection),
      _events(events),
      _options(options),
      _collector(options.captureRowLimit) {}

bool ProgramRunner::start(contract::BackendProgram program) {
    _program = std::move(program);
    for (std::size_t index = 0; index < _program.commands.size(); ++index) {
        if (!sendCommand(_program.commands[index], index)) {
            _failure = PQerrorMessage(_connection);
            return false;
        }
    }
    const bool synced = !_parts.empty() && _parts.back().kind == Part::Kind::Sync;
    if (!synced && !sendSync(_program.commands.size())) {
        _failure = PQerrorMessage(_connection);
        return false;
    }
    beginPart();
    return true;
}

bool ProgramRunner::sendCommand(const BackendCommand& command, std::size_t index) {
    const bool describeOnly = command.step.action == contract::StepAction::DescribeOnly;
    if (describeOnly ? !sendDescribe(command.step, index) : !sendExecute(command.step)) {
        return false;
    }
    if (!describeOnly) {
        expect(Part::Kind::Execute, index);
    }
    return !command.syncAfter || sendSync(index);
}

bool ProgramRunner::sendExecute(const StatementStep& step) {
    if (hasZeroByteInText(step)) {
        return PQsendQueryParams(_connection, kRefusedText, 0, nullptr, nullptr, nullptr, nullptr,
                                 0) == 1;
    }
    const std::vector<Oid> types = typeList(step);
    const std::size_t count = step.parameters.size();
    std::vector<const char*> values(count, nullptr);
    std::vector<int> lengths(count, 0);
    std::vector<int> formats(count, 0);
    for (std::size_t index = 0; index < count; ++index) {
        const contract::ParameterValue& parameter = step.parameters[index];
        formats[index] = static_cast<int>(parameter.format);
        if (parameter.bytes) {
            values[index] = parameter.bytes->c_str();
            lengths[index] = static_cast<int>(parameter.bytes->size());
        }
    }
    return PQsendQueryParams(_connection, step.sql.c_str(), static_cast<int>(count), types.data(),
                             values.data(), lengths.data(), formats.data(),
                             static_cast<int>(step.resultFormat)) == 1;
}

bool ProgramRunner::sendDescribe(const StatementStep& step, std::size_t index) {
    const std::vector<Oid> types = typeList(step);
    if (PQsendPrepare(_connection, kUnnamedStatement, step.sql.c_str(),
                      static_cast<int>(types.size()), types.data()) == 0) {
        return false;
    }
    expect(Part::Kind::Prepare, index);
    if (PQsendDescribePrepared(_connection, kUnnamedStatement) == 0) {
        return false;
    }
    expect(Part::Kind::Describe, index);
    return true;
}

bool ProgramRunner::sendSync(std::size_t index) {
    expect(Part::Kind::Sync, index);
    return PQpipelineSync(_connection) == 1;
}

void ProgramRunner::expect(Part::Kind kind, std::size_t index) {
    _parts.push_back({.kind = kind, .commandIndex = index});
}

ProgramRunner::Progress ProgramRunner::advance() {
    while (!_stopped && _reading && !_parts.empty()) {
        if (PQisBusy(_connection) == 1) {
            deliverBytes();
            break;
        }
        const PgResult result(PQgetResult(_connection));
        if (!result) {
            finishPart();
        } else if (!takeResult(result.get())) {
            return Progress::Broken;
        }
    }
    if (_stopped) {
        return Progress::Stopped;
    }
    return _parts.empty() ? Progress::Ended : Progress::Waiting;
}

bool ProgramRunner::takeResult(const PGresult* result) {
    const Part part = _parts.front();
    switch (PQresultStatus(result)) {
        case PGRES_PIPELINE_SYNC:
            _parts.pop_front();
            beginPart();
            return true;
        case PGRES_PIPELINE_ABORTED:
            _collector.skip();
            return true;
        case PGRES_SINGLE_TUPLE:
        case PGRES_TUPLES_OK:
        case PGRES_COMMAND_OK:
        case PGRES_EMPTY_QUERY:
            if (part.kind == Part::Kind::Describe) {
                _collector.addDescription(result);
            } else if (part.kind == Part::Kind::Execute) {
                _collector.addResult(result);
            }
            break;
        case PGRES_FATAL_ERROR:
            return takeError(result);
        default:
            _failure = std::string("unexpected result: ") + PQresStatus(PQresultStatus(result));
            return false;
    }
    if (_collector.pendingBytes() >= _options.chunkBytes) {
        deliverBytes();
    }
    return true;
}

bool ProgramRunner::takeError(const PGresult* result) {
    // Without a SQLSTATE the error is libpq's own. After FATAL the server is gone, and whether the
    // rest of the program ran is not known.
    const bool ofStatement = PQresultErrorField(result, PG_DIAG_SQLSTATE) != nullptr;
    if (!ofStatement || endsSession(result)) {
        const char* primary = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        _failure = ofStatement && primary != nullptr
                       ? PQresultErrorField(result, PG_DIAG_SQLSTATE) + std::string(" ") + primary
                       : PQresultErrorMessage(result);
        return false;
    }
    _collector.fail(result);
    return true;
}

void ProgramRunner::finishPart() {
    const Part part = _parts.front();
    _parts.pop_front();
    if (part.kind == Part::Kind::Prepare) {
        return;
    }
    deliverBytes();
    if (_stopped) {
        return;
    }
    CommandOutcome outcome = _collector.takeOutcome();
    // Single-row mode of the next command must be set before any of its results are looked at.
    beginPart();
    _events.onCommandEnded(_id, part.commandIndex, std::move(outcome));
}

void ProgramRunner::beginPart() {
    if (_parts.empty() || _parts.front().kind == Part::Kind::Sync) {
        return;
    }
    const Part& part = _parts.front();
    if (part.kind == Part::Kind::Execute) {
        // Refused when an error of the segment has already aborted this command, which is harmless.
        PQsetSingleRowMode(_connection);
    }
    _collector.begin(_program.commands[part.commandIndex]);
    _commandIndex = part.commandIndex;
}

void ProgramRunner::addNotice(const PGresult* notice) {
    _collector.addNotice(notice);
}

void ProgramRunner::deliverBytes() {
    if (_collector.pendingBytes() == 0 || _stopped) {
        return;
    }
    _events.onForwardBytes(_id, _commandIndex, _collector.takeBytes());
}

}  // namespace coralhoist::backend
