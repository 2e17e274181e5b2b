#include "link/forwarding/UnitCodec.h"

#include <chrono>
#include <utility>

#include "gen/unit_types.h"
#include "link/forwarding/LoadReportCodec.h"
#include "link/forwarding/QuestionCodec.h"
#include "link/frame/ThriftCodec.h"

namespace coralhoist::forwarding {
namespace {

using pooling::SessionState;
using pooling::ShapeKind;
using pooling::Statement;
using pooling::StatementError;
using pooling::StatementFault;
using pooling::StatementVerb;
using pooling::UnitOpening;
using std::chrono::microseconds;

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::int64_t toMicroseconds(Duration duration) {
    return std::chrono::duration_cast<microseconds>(duration).count();
}

gen::UnitPosition write(const OpTime& position) {
    gen::UnitPosition record;
    record.term = static_cast<std::int64_t>(position.term);
    record.number = static_cast<std::int64_t>(position.position);
    return record;
}

OpTime read(const gen::UnitPosition& record) {
    OpTime position;
    position.term = static_cast<Term>(record.term);
    position.position = static_cast<LogPosition>(record.number);
    return position;
}

gen::UnitCommand write(const Statement& statement) {
    gen::UnitCommand record;
    record.id = statement.id;
    record.verb = static_cast<std::int32_t>(statement.verb);
    record.text = statement.text;
    if (!statement.name.empty()) {
        record.__set_name(statement.name);
    }
    if (!statement.argument.empty()) {
        record.__set_argument(statement.argument);
    }
    return record;
}

std::optional<Statement> read(const gen::UnitCommand& record) {
    if (record.verb < 0 || record.verb > static_cast<std::int32_t>(StatementVerb::Close)) {
        return std::nullopt;
    }
    Statement statement;
    statement.id = record.id;
    statement.verb = static_cast<StatementVerb>(record.verb);
    statement.text = record.text;
    statement.name = record.name;
    statement.argument = record.argument;
    return statement;
}

gen::UnitContext write(const UnitOpening& opening) {
    const settings::ServiceSettings& settings = opening.settings;
    gen::UnitContext record;
    record.serviceName = opening.service.value();
    record.groupName = opening.group.value();
    record.primaryOnly = settings.readRouting == settings::ReadRouting::Primary;
    record.urgent = settings.priority == settings::Priority::Urgent;
    record.rank = static_cast<std::int32_t>(settings.admissionRank());
    record.waitedUs = toMicroseconds(opening.waited);
    if (opening.usefulFor) {
        record.__set_usefulForUs(toMicroseconds(*opening.usefulFor));
    }
    if (settings.maxStaleness) {
        record.__set_maximumStalenessUs(toMicroseconds(*settings.maxStaleness));
    }
    record.timeoutUs = toMicroseconds(settings.statementTimeout);
    record.objectiveUs = toMicroseconds(settings.latencyObjective);
    record.idleInTransactionUs = toMicroseconds(settings.idleInTransactionTimeout);
    record.ownFloor = write(opening.ownFloor);
    if (!opening.tenant.value().empty()) {
        record.__set_tenantName(opening.tenant.value());
    }
    if (opening.begin) {
        record.__set_opener(write(*opening.begin));
    }
    return record;
}

std::optional<UnitOpening> read(const gen::UnitContext& record) {
    const bool knownRank =
        record.rank >= 0 && record.rank < static_cast<std::int32_t>(settings::kAdmissionRanks);
    if (!knownRank || record.waitedUs < 0) {
        return std::nullopt;
    }
    UnitOpening opening;
    opening.waited = microseconds(record.waitedUs);
    if (record.__isset.usefulForUs) {
        opening.usefulFor = microseconds(record.usefulForUs);
    }
    opening.service = ServiceName(record.serviceName);
    opening.group = GroupName(record.groupName);
    opening.tenant = TenantName(record.tenantName);
    settings::ServiceSettings& settings = opening.settings;
    settings.name = opening.service;
    settings.readRouting =
        record.primaryOnly ? settings::ReadRouting::Primary : settings::ReadRouting::Replica;
    settings.priority = record.urgent ? settings::Priority::Urgent : settings::Priority::Ordinary;
    settings.rank = static_cast<std::uint32_t>(record.rank);
    if (record.__isset.maximumStalenessUs) {
        settings.maxStaleness = microseconds(record.maximumStalenessUs);
    }
    settings.statementTimeout = microseconds(record.timeoutUs);
    settings.latencyObjective = microseconds(record.objectiveUs);
    settings.idleInTransactionTimeout = microseconds(record.idleInTransactionUs);
    opening.ownFloor = read(record.ownFloor);
    if (record.__isset.opener) {
        opening.begin = read(record.opener);
        if (!opening.begin) {
            return std::nullopt;
        }
    }
    return opening;
}

gen::UnitRequest writeRequest(const UnitMessage& message) {
    gen::UnitRequest record;
    record.unit = static_cast<std::int64_t>(message.unit.value());
    if (message.opening) {
        record.__set_context(write(*message.opening));
    }
    record.command = write(message.statement.statement);
    record.values = message.statement.values;
    if (message.statement.shape) {
        gen::UnitShape shape;
        shape.writes = message.statement.shape->kind == ShapeKind::Write;
        shape.shape = message.statement.shape->shape;
        record.__set_shape(shape);
    }
    return record;
}

std::optional<UnitMessage> readRequest(const gen::UnitRequest& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::Request;
    message.unit = UnitId(static_cast<std::uint64_t>(record.unit));
    const std::optional<Statement> statement = read(record.command);
    if (!statement) {
        return std::nullopt;
    }
    message.statement.statement = *statement;
    message.statement.values = record.values;
    if (record.__isset.shape) {
        const ShapeKind kind = record.shape.writes ? ShapeKind::Write : ShapeKind::Read;
        message.statement.shape = pooling::PreparedShape{kind, record.shape.shape, {}};
    }
    if (record.__isset.context) {
        message.opening = read(record.context);
        if (!message.opening) {
            return std::nullopt;
        }
    }
    return message;
}

gen::UnitAnswer writeAnswer(const UnitMessage& message) {
    const pooling::StatementResult& result = message.result.result;
    gen::UnitAnswer record;
    record.unit = static_cast<std::int64_t>(message.unit.value());
    record.rows = result.rows;
    record.signature = result.signature;
    if (result.error) {
        gen::UnitError error;
        error.fault = static_cast<std::int32_t>(result.error->fault);
        error.message = result.error->message;
        if (result.error->retryAfter) {
            error.__set_retryAfterUs(toMicroseconds(*result.error->retryAfter));
        }
        record.__set_error(error);
    }
    record.state = static_cast<std::int32_t>(result.state);
    record.ownFloor = write(message.result.ownFloor);
    record.notTaken = message.kind == UnitMessage::Kind::Declined;
    return record;
}

std::optional<UnitMessage> readAnswer(const gen::UnitAnswer& record) {
    const bool knownState =
        record.state >= 0 && record.state <= static_cast<std::int32_t>(SessionState::Failed);
    const bool knownFault =
        !record.__isset.error || (record.error.fault >= 0 &&
                                  record.error.fault < static_cast<int>(pooling::kStatementFaults));
    if (!knownState || !knownFault) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = record.notTaken ? UnitMessage::Kind::Declined : UnitMessage::Kind::Answer;
    message.unit = UnitId(static_cast<std::uint64_t>(record.unit));
    pooling::StatementResult& result = message.result.result;
    result.rows = record.rows;
    result.signature = record.signature;
    if (record.__isset.error) {
        result.error =
            StatementError{static_cast<StatementFault>(record.error.fault), record.error.message};
        if (record.error.__isset.retryAfterUs) {
            result.error->retryAfter = microseconds(record.error.retryAfterUs);
        }
    }
    result.state = static_cast<SessionState>(record.state);
    message.result.ownFloor = read(record.ownFloor);
    return message;
}

std::optional<UnitMessage> readLoadTold(const gen::GroupLoadReport& record) {
    std::optional<pooling::LoadReport> report = readLoadReport(record);
    if (!report) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::LoadTold;
    message.loadReport = std::move(*report);
    return message;
}

std::optional<UnitMessage> readFrame(const gen::UnitFrame& frame) {
    if (frame.__isset.request) {
        return readRequest(frame.request);
    }
    if (frame.__isset.answer) {
        return readAnswer(frame.answer);
    }
    if (isQuestionFrame(frame)) {
        return readQuestionFrame(frame);
    }
    if (frame.__isset.loadReport) {
        return readLoadTold(frame.loadReport);
    }
    UnitMessage message;
    if (frame.__isset.ended) {
        message.kind = UnitMessage::Kind::Ended;
        message.unit = UnitId(static_cast<std::uint64_t>(frame.ended));
        return message;
    }
    if (frame.__isset.heartbeat) {
        message.kind =
            frame.heartbeat ? UnitMessage::Kind::HeartbeatAsked : UnitMessage::Kind::Heartbeat;
        return message;
    }
    if (frame.__isset.leaving) {
        message.kind = UnitMessage::Kind::Leaving;
        return message;
    }
    return std::nullopt;
}

gen::UnitFrame writeFrame(const UnitMessage& message) {
    gen::UnitFrame frame;
    switch (message.kind) {
        case UnitMessage::Kind::Request:
            frame.__set_request(writeRequest(message));
            break;
        case UnitMessage::Kind::Answer:
        case UnitMessage::Kind::Declined:
            frame.__set_answer(writeAnswer(message));
            break;
        case UnitMessage::Kind::Ended:
            frame.__set_ended(static_cast<std::int64_t>(message.unit.value()));
            break;
        case UnitMessage::Kind::HeartbeatAsked:
            frame.__set_heartbeat(true);
            break;
        case UnitMessage::Kind::Heartbeat:
            frame.__set_heartbeat(false);
            break;
        case UnitMessage::Kind::Leaving:
            frame.__set_leaving(true);
            break;
        case UnitMessage::Kind::ProofAsked:
        case UnitMessage::Kind::Proof:
        case UnitMessage::Kind::ChangesAsked:
        case UnitMessage::Kind::Changes:
        case UnitMessage::Kind::QuotaAsked:
        case UnitMessage::Kind::Quota:
        case UnitMessage::Kind::LedgerUpdate:
        case UnitMessage::Kind::LedgerAck:
            writeQuestionFrame(message, frame);
            break;
        case UnitMessage::Kind::LoadTold:
            frame.__set_loadReport(writeLoadReport(message.loadReport));
            break;
    }
    return frame;
}

std::size_t lengthOf(const std::string& buffer) {
    std::size_t length = 0;
    for (std::size_t index = 0; index < kLengthBytes; ++index) {
        length = (length << kBitsPerByte) | static_cast<unsigned char>(buffer[index]);
    }
    return length;
}

}  // namespace

void encode(std::string& out, const UnitMessage& message) {
    const std::string body = frame::encodeThrift(writeFrame(message));
    for (std::size_t index = kLengthBytes; index > 0; --index) {
        out.push_back(static_cast<char>(body.size() >> (kBitsPerByte * (index - 1))));
    }
    out.append(body);
}

std::optional<StatusWith<UnitMessage>> takeMessage(std::string& buffer) {
    if (buffer.size() < kLengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = lengthOf(buffer);
    if (length == 0 || length > kLargestFrame) {
        return StatusWith<UnitMessage>(Status(ErrorCode::ProtocolViolation, "bad frame length"));
    }
    if (buffer.size() < kLengthBytes + length) {
        return std::nullopt;
    }
    const auto frame =
        frame::decodeThrift<gen::UnitFrame>(std::string_view(buffer).substr(kLengthBytes, length));
    std::optional<UnitMessage> message =
        frame.isOk() ? readFrame(frame.value()) : std::optional<UnitMessage>();
    buffer.erase(0, kLengthBytes + length);
    if (!message) {
        return StatusWith<UnitMessage>(Status(ErrorCode::ProtocolViolation, "unreadable frame"));
    }
    return StatusWith<UnitMessage>(std::move(*message));
}

}  // namespace coralhoist::forwarding
