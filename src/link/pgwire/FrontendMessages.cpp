#include "link/pgwire/FrontendMessages.h"

#include <QDataStream>
#include <QIODevice>
#include <utility>

#include "base/Error.h"
#include "link/pgwire/PayloadReader.h"

namespace coralhoist::pgwire {
namespace {

constexpr std::uint16_t kProtocolMajor = 3;
constexpr std::uint32_t kCancelRequestCode = 80877102;
constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssEncryptionRequestCode = 80877104;
constexpr std::int32_t kNullLength = -1;

Status malformed(const std::string& messageName) {
    return {ErrorCode::ProtocolViolation, "malformed " + messageName + " message"};
}

/** Turns the parsed value into a result if the reader consumed the payload exactly. */
template <typename Message>
StatusWith<Message> finish(const PayloadReader& reader, Message message,
                           const std::string& messageName) {
    if (!reader.isComplete()) {
        return malformed(messageName);
    }
    return message;
}

StartupMessage readStartupMessage(PayloadReader& reader, std::uint32_t version) {
    StartupMessage message;
    message.majorVersion = static_cast<std::uint16_t>(version >> 16U);
    message.minorVersion = static_cast<std::uint16_t>(version & 0xFFFFU);
    // The list ends with an empty name.
    while (!reader.hasFailed()) {
        std::string name = reader.readCString();
        if (name.empty()) {
            break;
        }
        message.parameters.push_back({std::move(name), reader.readCString()});
    }
    return message;
}

std::vector<contract::ValueFormat> readFormats(PayloadReader& reader) {
    const auto count = reader.readInteger<std::uint16_t>();
    std::vector<contract::ValueFormat> formats;
    for (std::uint16_t index = 0; index < count && !reader.hasFailed(); ++index) {
        const auto code = reader.readInteger<std::int16_t>();
        if (code != 0 && code != 1) {
            reader.fail();
        }
        formats.push_back(static_cast<contract::ValueFormat>(code));
    }
    return formats;
}

contract::ValueFormat formatAt(const std::vector<contract::ValueFormat>& formats,
                               std::size_t index) {
    if (formats.empty()) {
        return contract::ValueFormat::Text;
    }
    if (formats.size() == 1) {
        return formats.front();
    }
    return index < formats.size() ? formats[index] : contract::ValueFormat::Text;
}

std::vector<contract::ParameterValue> readParameters(PayloadReader& reader) {
    const std::vector<contract::ValueFormat> formats = readFormats(reader);
    const auto count = reader.readInteger<std::uint16_t>();
    if (formats.size() > 1 && formats.size() != count) {
        reader.fail();
    }
    std::vector<contract::ParameterValue> parameters;
    for (std::uint16_t index = 0; index < count && !reader.hasFailed(); ++index) {
        contract::ParameterValue parameter;
        parameter.format = formatAt(formats, index);
        const auto length = reader.readInteger<std::int32_t>();
        if (length != kNullLength) {
            parameter.bytes = reader.readBytes(length);
        }
        parameters.push_back(std::move(parameter));
    }
    return parameters;
}

TargetKind readTargetKind(PayloadReader& reader) {
    const auto kind = static_cast<char>(reader.readInteger<std::uint8_t>());
    if (kind != static_cast<char>(TargetKind::Statement) &&
        kind != static_cast<char>(TargetKind::Portal)) {
        reader.fail();
        return TargetKind::Statement;
    }
    return static_cast<TargetKind>(kind);
}

/** Widens the result of a parse function to the variant. */
template <typename Message>
StatusWith<FrontendMessage> widen(StatusWith<Message> parsed) {
    if (!parsed.isOk()) {
        return parsed.status();
    }
    return FrontendMessage(std::move(parsed).value());
}

template <typename Message>
StatusWith<FrontendMessage> parseEmpty(const QByteArray& payload, const std::string& messageName) {
    if (!payload.isEmpty()) {
        return malformed(messageName);
    }
    return FrontendMessage(Message{});
}

}  // namespace

std::optional<std::string> StartupMessage::parameter(std::string_view name) const {
    std::optional<std::string> value;
    for (const StartupParameter& candidate : parameters) {
        if (candidate.name == name) {
            value = candidate.value;
        }
    }
    return value;
}

contract::ValueFormat Bind::resultFormat(std::size_t column) const {
    return formatAt(resultFormats, column);
}

StatusWith<StartupPacket> parseStartupPacket(const QByteArray& payload) {
    PayloadReader reader(payload);
    const auto code = reader.readInteger<std::uint32_t>();
    if (code == kSslRequestCode) {
        return finish(reader, StartupPacket(SslRequest{}), "SSLRequest");
    }
    if (code == kGssEncryptionRequestCode) {
        return finish(reader, StartupPacket(GssEncryptionRequest{}), "GSSENCRequest");
    }
    if (code == kCancelRequestCode) {
        CancelRequest request;
        request.processId = reader.readInteger<std::int32_t>();
        request.secretKey = reader.readInteger<std::int32_t>();
        return finish(reader, StartupPacket(request), "CancelRequest");
    }
    if (code >> 16U != kProtocolMajor) {
        return Status(ErrorCode::ProtocolViolation, "unsupported protocol version");
    }
    StartupMessage message = readStartupMessage(reader, code);
    return finish(reader, StartupPacket(std::move(message)), "StartupMessage");
}

StatusWith<Query> parseQuery(const QByteArray& payload) {
    PayloadReader reader(payload);
    Query query{reader.readCString()};
    return finish(reader, std::move(query), "Query");
}

StatusWith<Parse> parseParse(const QByteArray& payload) {
    PayloadReader reader(payload);
    Parse parse;
    parse.statement = reader.readCString();
    parse.sql = reader.readCString();
    const auto count = reader.readInteger<std::uint16_t>();
    for (std::uint16_t index = 0; index < count && !reader.hasFailed(); ++index) {
        parse.parameterTypes.push_back(reader.readInteger<std::uint32_t>());
    }
    return finish(reader, std::move(parse), "Parse");
}

StatusWith<Bind> parseBind(const QByteArray& payload) {
    PayloadReader reader(payload);
    Bind bind;
    bind.portal = reader.readCString();
    bind.statement = reader.readCString();
    bind.parameters = readParameters(reader);
    bind.resultFormats = readFormats(reader);
    return finish(reader, std::move(bind), "Bind");
}

StatusWith<Describe> parseDescribe(const QByteArray& payload) {
    PayloadReader reader(payload);
    Describe describe;
    describe.kind = readTargetKind(reader);
    describe.name = reader.readCString();
    return finish(reader, std::move(describe), "Describe");
}

StatusWith<Execute> parseExecute(const QByteArray& payload) {
    PayloadReader reader(payload);
    Execute execute;
    execute.portal = reader.readCString();
    execute.maxRows = reader.readInteger<std::int32_t>();
    return finish(reader, std::move(execute), "Execute");
}

StatusWith<Close> parseClose(const QByteArray& payload) {
    PayloadReader reader(payload);
    Close close;
    close.kind = readTargetKind(reader);
    close.name = reader.readCString();
    return finish(reader, std::move(close), "Close");
}

StatusWith<PasswordMessage> parsePassword(const QByteArray& payload) {
    PayloadReader reader(payload);
    PasswordMessage message{reader.readCString()};
    return finish(reader, std::move(message), "PasswordMessage");
}

StatusWith<FrontendMessage> parseFrontendMessage(const RawMessage& message) {
    const auto type = static_cast<FrontendType>(message.type);
    switch (type) {
        case FrontendType::Query:
            return widen(parseQuery(message.payload));
        case FrontendType::Parse:
            return widen(parseParse(message.payload));
        case FrontendType::Bind:
            return widen(parseBind(message.payload));
        case FrontendType::Describe:
            return widen(parseDescribe(message.payload));
        case FrontendType::Execute:
            return widen(parseExecute(message.payload));
        case FrontendType::Close:
            return widen(parseClose(message.payload));
        case FrontendType::Password:
            return widen(parsePassword(message.payload));
        case FrontendType::Sync:
            return parseEmpty<Sync>(message.payload, "Sync");
        case FrontendType::Flush:
            return parseEmpty<Flush>(message.payload, "Flush");
        case FrontendType::Terminate:
            return parseEmpty<Terminate>(message.payload, "Terminate");
        case FrontendType::CopyData:
        case FrontendType::CopyDone:
        case FrontendType::CopyFail:
            return FrontendMessage(CopyMessage{type});
        case FrontendType::FunctionCall:
            return FrontendMessage(FunctionCall{});
    }
    return Status(ErrorCode::ProtocolViolation,
                  "unknown message type " + std::to_string(static_cast<int>(message.type)));
}

QByteArray encodeCancelRequest(const CancelRequest& request) {
    constexpr std::uint32_t kPacketBytes = 16;
    QByteArray packet;
    QDataStream stream(&packet, QIODevice::WriteOnly);
    stream << kPacketBytes << kCancelRequestCode << request.processId << request.secretKey;
    return packet;
}

}  // namespace coralhoist::pgwire
