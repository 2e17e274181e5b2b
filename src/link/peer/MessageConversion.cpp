#include "link/peer/MessageConversion.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

#include "base/Error.h"
#include "link/peer/LinkKnobs.h"

namespace coralhoist::peer {
namespace {

using contract::BatchEnd;
using contract::RoutingFailure;
using contract::RunState;
using contract::StatementKind;
using contract::StepAction;
using contract::TransactionStatus;
using contract::ValueFormat;
using settings::Priority;
using settings::ReadRouting;
using settings::RequestKeyPolicy;

constexpr std::size_t kSqlStateLength = 5;
/** Longest time left that is believed; longer ones are cut. */
constexpr std::chrono::milliseconds kLongestRemaining = std::chrono::hours(24);

template <typename Enumeration>
std::int32_t toNumber(Enumeration value) {
    return static_cast<std::int32_t>(value);
}

/** Turns received numbers into values of the contract and remembers the first that is no such. */
class FieldChecks {
public:
    /** @param last the greatest value of an enumeration that counts from zero without gaps. */
    template <typename Enumeration>
    Enumeration toEnumeration(std::int32_t number, Enumeration last, const char* field) {
        if (number < 0 || number > toNumber(last)) {
            fail(field, number);
            return Enumeration{};
        }
        return static_cast<Enumeration>(number);
    }

    std::uint64_t toUnsigned(std::int64_t number, const char* field,
                             std::int64_t greatest = std::numeric_limits<std::int64_t>::max()) {
        if (number < 0 || number > greatest) {
            fail(field, number);
            return 0;
        }
        return static_cast<std::uint64_t>(number);
    }

    Duration toDuration(std::int64_t nanoseconds, const char* field) {
        return Duration(static_cast<std::int64_t>(toUnsigned(nanoseconds, field)));
    }

    void fail(const char* field, std::int64_t number) {
        if (_status.isOk()) {
            _status = Status(ErrorCode::ProtocolViolation,
                             std::string("bad ") + field + " " + std::to_string(number));
        }
    }

    /** @return the value when all fields were good. */
    template <typename Value>
    StatusWith<Value> result(Value value) const {
        return _status.isOk() ? StatusWith<Value>(std::move(value)) : StatusWith<Value>(_status);
    }

private:
    Status _status;
};

gen::OpTime opTimeToWire(const OpTime& time) {
    gen::OpTime wire;
    wire.term = static_cast<std::int64_t>(time.term);
    wire.position = static_cast<std::int64_t>(time.position);
    return wire;
}

OpTime opTimeFromWire(const gen::OpTime& wire) {
    return {static_cast<Term>(wire.term), static_cast<LogPosition>(wire.position)};
}

gen::Step stepToWire(const contract::StatementStep& step) {
    gen::Step wire;
    wire.action = toNumber(step.action);
    wire.kind = toNumber(step.kind);
    wire.sql = step.sql;
    for (const std::uint32_t type : step.parameterTypes) {
        wire.parameterTypes.push_back(static_cast<std::int32_t>(type));
    }
    for (const contract::ParameterValue& value : step.parameters) {
        gen::Parameter& parameter = wire.parameters.emplace_back();
        if (value.bytes) {
            parameter.__set_value(*value.bytes);
        }
        parameter.format = toNumber(value.format);
    }
    wire.resultFormat = toNumber(step.resultFormat);
    wire.describeRows = step.describeRows;
    wire.changesSession = step.changesSession;
    return wire;
}

contract::StatementStep stepFromWire(gen::Step&& wire, FieldChecks& checks) {
    contract::StatementStep step;
    step.action = checks.toEnumeration(wire.action, StepAction::DescribeOnly, "step action");
    step.kind = checks.toEnumeration(wire.kind, StatementKind::Unsupported, "statement kind");
    step.sql = std::move(wire.sql);
    for (const std::int32_t type : wire.parameterTypes) {
        step.parameterTypes.push_back(static_cast<std::uint32_t>(type));
    }
    for (gen::Parameter& parameter : wire.parameters) {
        contract::ParameterValue& value = step.parameters.emplace_back();
        if (parameter.__isset.value) {
            value.bytes = std::move(parameter.value);
        }
        value.format =
            checks.toEnumeration(parameter.format, ValueFormat::Binary, "parameter format");
    }
    step.resultFormat =
        checks.toEnumeration(wire.resultFormat, ValueFormat::Binary, "result format");
    step.describeRows = wire.describeRows;
    step.changesSession = wire.changesSession;
    return step;
}

gen::ServiceSettings settingsToWire(const settings::ServiceSettings& service) {
    gen::ServiceSettings wire;
    wire.name = service.name.value();
    wire.readRouting = toNumber(service.readRouting);
    wire.priority = toNumber(service.priority);
    if (service.maxStaleness) {
        wire.__set_maxStaleness(service.maxStaleness->count());
    }
    wire.statementTimeout = service.statementTimeout.count();
    wire.idleInTransactionTimeout = service.idleInTransactionTimeout.count();
    wire.transactionTimeout = service.transactionTimeout.count();
    wire.requestKeyPolicy = toNumber(service.requestKeyPolicy);
    wire.connectionLimit = service.connectionLimit;
    return wire;
}

settings::ServiceSettings settingsFromWire(const gen::ServiceSettings& wire, FieldChecks& checks) {
    settings::ServiceSettings service;
    service.name = ServiceName(wire.name);
    service.readRouting =
        checks.toEnumeration(wire.readRouting, ReadRouting::Replica, "read routing");
    service.priority = checks.toEnumeration(wire.priority, Priority::Ordinary, "priority");
    if (wire.__isset.maxStaleness) {
        service.maxStaleness = checks.toDuration(wire.maxStaleness, "greatest staleness");
    }
    service.statementTimeout = checks.toDuration(wire.statementTimeout, "statement timeout");
    service.idleInTransactionTimeout =
        checks.toDuration(wire.idleInTransactionTimeout, "idle in transaction timeout");
    service.transactionTimeout = checks.toDuration(wire.transactionTimeout, "transaction timeout");
    service.requestKeyPolicy = checks.toEnumeration(
        wire.requestKeyPolicy, RequestKeyPolicy::Required, "request key policy");
    service.connectionLimit = static_cast<std::uint32_t>(checks.toUnsigned(
        wire.connectionLimit, "connection limit", std::numeric_limits<std::uint32_t>::max()));
    return service;
}

contract::ExecutionRequest requestFromWire(gen::Execute&& wire, TimePoint now,
                                           FieldChecks& checks) {
    contract::ExecutionRequest request;
    request.id = RequestId(checks.toUnsigned(wire.request, "request"));
    request.session = SessionId(static_cast<std::uint64_t>(wire.session));
    request.group = GroupName(std::move(wire.group));
    request.service = ServiceName(std::move(wire.serviceName));
    for (gen::Step& step : wire.steps) {
        request.batch.steps.push_back(stepFromWire(std::move(step), checks));
    }
    request.batch.end = checks.toEnumeration(wire.batchEnd, BatchEnd::Flush, "batch end");
    request.serviceSettings = settingsFromWire(wire.serviceSettings, checks);
    const std::uint64_t remaining = checks.toUnsigned(wire.remainingMilliseconds, "remaining time");
    const auto longest = static_cast<std::uint64_t>(kLongestRemaining.count());
    request.deadline = now + std::chrono::milliseconds(std::min(remaining, longest));
    request.forwardings = static_cast<std::uint32_t>(
        checks.toUnsigned(wire.forwardings, "forwardings", kMostForwardings));
    if (wire.__isset.floor) {
        request.floor = opTimeFromWire(wire.floor);
    }
    if (wire.__isset.requestKey) {
        request.requestKey = std::move(wire.requestKey);
    }
    if (wire.__isset.transaction) {
        request.transaction = TransactionId(static_cast<std::uint64_t>(wire.transaction));
    }
    for (gen::SessionParameter& parameter : wire.sessionParameters) {
        request.sessionParameters.push_back(
            {std::move(parameter.name), std::move(parameter.value)});
    }
    return request;
}

contract::ExecutionError errorFromWire(gen::ExecutionError&& wire, FieldChecks& checks) {
    contract::ExecutionError error;
    if (wire.sqlState.size() != kSqlStateLength) {
        checks.fail("length of SQLSTATE", static_cast<std::int64_t>(wire.sqlState.size()));
    }
    error.sqlState = std::move(wire.sqlState);
    error.message = std::move(wire.message);
    error.detail = std::move(wire.detail);
    error.hint = std::move(wire.hint);
    error.runState = checks.toEnumeration(wire.runState, RunState::Ran, "run state");
    error.retryAfter = checks.toDuration(wire.retryAfter, "retry after");
    error.routingFailure = checks.toEnumeration(
        wire.routingFailure, RoutingFailure::OwnerUnreachable, "routing failure");
    return error;
}

contract::ExecutionResult resultFromWire(gen::ExecutionEnd&& wire, FieldChecks& checks) {
    contract::ExecutionResult result;
    if (wire.__isset.error) {
        result.error = errorFromWire(std::move(wire.error), checks);
    }
    result.transactionStatus = checks.toEnumeration(
        wire.transactionStatus, TransactionStatus::Failed, "transaction status");
    if (wire.__isset.transaction) {
        result.transaction = TransactionId(static_cast<std::uint64_t>(wire.transaction));
    }
    if (wire.__isset.observed) {
        result.observed = opTimeFromWire(wire.observed);
    }
    result.servedByReplica = wire.servedByReplica;
    return result;
}

}  // namespace

gen::Execute toWire(const contract::ExecutionRequest& request, std::int64_t wireId,
                    Duration remaining, std::int64_t window) {
    gen::Execute wire;
    wire.request = wireId;
    wire.session = static_cast<std::int64_t>(request.session.value());
    wire.group = request.group.value();
    wire.serviceName = request.service.value();
    for (const contract::StatementStep& step : request.batch.steps) {
        wire.steps.push_back(stepToWire(step));
    }
    wire.batchEnd = toNumber(request.batch.end);
    wire.serviceSettings = settingsToWire(request.serviceSettings);
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(remaining);
    wire.remainingMilliseconds = std::max<std::int64_t>(milliseconds.count(), 0);
    if (request.floor) {
        wire.__set_floor(opTimeToWire(*request.floor));
    }
    if (request.requestKey) {
        wire.__set_requestKey(*request.requestKey);
    }
    if (request.transaction) {
        wire.__set_transaction(static_cast<std::int64_t>(request.transaction->value()));
    }
    for (const contract::SessionParameter& parameter : request.sessionParameters) {
        gen::SessionParameter& wireParameter = wire.sessionParameters.emplace_back();
        wireParameter.name = parameter.name;
        wireParameter.value = parameter.value;
    }
    wire.window = window;
    wire.forwardings = static_cast<std::int32_t>(request.forwardings) + 1;
    return wire;
}

StatusWith<contract::ExecutionRequest> fromWire(gen::Execute&& message, TimePoint now) {
    FieldChecks checks;
    contract::ExecutionRequest request = requestFromWire(std::move(message), now, checks);
    return checks.result(std::move(request));
}

gen::ExecutionEnd toWire(std::int64_t wireId, const contract::ExecutionResult& result) {
    gen::ExecutionEnd wire;
    wire.request = wireId;
    if (result.error) {
        gen::ExecutionError error;
        error.sqlState = result.error->sqlState;
        error.message = result.error->message;
        error.detail = result.error->detail;
        error.hint = result.error->hint;
        error.runState = toNumber(result.error->runState);
        error.retryAfter = result.error->retryAfter.count();
        error.routingFailure = toNumber(result.error->routingFailure);
        wire.__set_error(error);
    }
    wire.transactionStatus = toNumber(result.transactionStatus);
    if (result.transaction) {
        wire.__set_transaction(static_cast<std::int64_t>(result.transaction->value()));
    }
    if (result.observed) {
        wire.__set_observed(opTimeToWire(*result.observed));
    }
    wire.servedByReplica = result.servedByReplica;
    return wire;
}

StatusWith<contract::ExecutionResult> fromWire(gen::ExecutionEnd&& message) {
    FieldChecks checks;
    contract::ExecutionResult result = resultFromWire(std::move(message), checks);
    return checks.result(std::move(result));
}

gen::PeerMessage toMessage(gen::Hello&& hello) {
    gen::PeerMessage message;
    message.hello = std::move(hello);
    message.__isset.hello = true;
    return message;
}

gen::PeerMessage toMessage(gen::Heartbeat&& heartbeat) {
    gen::PeerMessage message;
    message.heartbeat = std::move(heartbeat);
    message.__isset.heartbeat = true;
    return message;
}

gen::PeerMessage toMessage(gen::Goodbye&& goodbye) {
    gen::PeerMessage message;
    message.goodbye = std::move(goodbye);
    message.__isset.goodbye = true;
    return message;
}

gen::PeerMessage toMessage(gen::Execute&& execute) {
    gen::PeerMessage message;
    message.execute = std::move(execute);
    message.__isset.execute = true;
    return message;
}

gen::PeerMessage toMessage(gen::ResponseChunk&& chunk) {
    gen::PeerMessage message;
    message.responseChunk = std::move(chunk);
    message.__isset.responseChunk = true;
    return message;
}

gen::PeerMessage toMessage(gen::ExecutionEnd&& end) {
    gen::PeerMessage message;
    message.executionEnd = std::move(end);
    message.__isset.executionEnd = true;
    return message;
}

gen::PeerMessage toMessage(gen::Credit&& credit) {
    gen::PeerMessage message;
    message.credit = std::move(credit);
    message.__isset.credit = true;
    return message;
}

gen::PeerMessage toMessage(gen::Cancel&& cancel) {
    gen::PeerMessage message;
    message.cancel = std::move(cancel);
    message.__isset.cancel = true;
    return message;
}

gen::PeerMessage toMessage(gen::EndSession&& end) {
    gen::PeerMessage message;
    message.endSession = std::move(end);
    message.__isset.endSession = true;
    return message;
}

gen::PeerMessage toMessage(gen::SettingsFrame&& frame) {
    gen::PeerMessage message;
    message.settingsFrame = std::move(frame);
    message.__isset.settingsFrame = true;
    return message;
}

bool isWellFormed(const gen::PeerMessage& message) {
    const auto& isSet = message.__isset;
    const std::array<bool, 10> members = {
        isSet.hello,        isSet.heartbeat, isSet.goodbye, isSet.execute,    isSet.responseChunk,
        isSet.executionEnd, isSet.credit,    isSet.cancel,  isSet.endSession, isSet.settingsFrame};
    return std::count(members.begin(), members.end(), true) == 1;
}

}  // namespace coralhoist::peer
