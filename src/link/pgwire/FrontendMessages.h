/**
 * Messages of a PostgreSQL protocol 3 client and the functions that decode them.
 *
 * Every parse function returns ProtocolViolation when the payload is shorter or longer than its
 * fields say, and never reads past the payload.
 */
#pragma once

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/Status.h"
#include "contract/Statement.h"
#include "link/pgwire/MessageFramer.h"

namespace coralhoist::pgwire {

/** Type bytes of a client's messages. */
enum class FrontendType : char {
    Bind = 'B',
    Close = 'C',
    CopyData = 'd',
    CopyDone = 'c',
    CopyFail = 'f',
    Describe = 'D',
    Execute = 'E',
    Flush = 'H',
    FunctionCall = 'F',
    Parse = 'P',
    Password = 'p',
    Query = 'Q',
    Sync = 'S',
    Terminate = 'X',
};

/** Asks for TLS; answered with the single byte 'N' when it is declined. */
struct SslRequest {};
/** Asks for GSSAPI encryption; answered with the single byte 'N' when it is declined. */
struct GssEncryptionRequest {};

/** Asks to cancel what runs on another connection; no answer is sent. */
struct CancelRequest {
    std::int32_t processId = 0;
    std::int32_t secretKey = 0;
};

/** A name and its value from the StartupMessage. */
struct StartupParameter {
    std::string name;
    std::string value;
};

/** Opens a session. */
struct StartupMessage {
    std::uint16_t majorVersion = 3;
    std::uint16_t minorVersion = 0;
    std::vector<StartupParameter> parameters;

    /** @return the value of the last parameter of that name, or no value. */
    std::optional<std::string> parameter(std::string_view name) const;
};

/** What a client may send in the start-up phase. */
using StartupPacket = std::variant<SslRequest, GssEncryptionRequest, CancelRequest, StartupMessage>;

/** Simple query: one or more statements in one string. */
struct Query {
    std::string sql;
};

/** Prepares a statement. */
struct Parse {
    std::string statement;
    std::string sql;
    /** Type OIDs; 0 leaves the type to the server; may be shorter than the parameters. */
    std::vector<std::uint32_t> parameterTypes;
};

/** Binds parameter values to a prepared statement. */
struct Bind {
    std::string portal;
    std::string statement;
    std::vector<contract::ParameterValue> parameters;
    /** Empty: all text; one: for all columns; else one for each column. */
    std::vector<contract::ValueFormat> resultFormats;

    /** @return the format in which a result column was asked for. */
    contract::ValueFormat resultFormat(std::size_t column) const;
};

/** What Describe and Close name. */
enum class TargetKind : char { Statement = 'S', Portal = 'P' };

/** Asks for parameter types and row description. */
struct Describe {
    TargetKind kind = TargetKind::Statement;
    std::string name;
};

/** Forgets a prepared statement or portal. */
struct Close {
    TargetKind kind = TargetKind::Statement;
    std::string name;
};

/** Runs a portal. */
struct Execute {
    std::string portal;
    /** Most rows to return; 0 for all. */
    std::int32_t maxRows = 0;
};

struct Sync {};
struct Flush {};
struct Terminate {};

/** Answer to an authentication request. */
struct PasswordMessage {
    std::string password;
};

/** CopyData, CopyDone or CopyFail; to be ignored outside of COPY. */
struct CopyMessage {
    FrontendType type = FrontendType::CopyData;
};

/** The obsolete function call; its body is not decoded. */
struct FunctionCall {};

/** What a client may send after start-up. */
using FrontendMessage = std::variant<Query, Parse, Bind, Describe, Execute, Close, Sync, Flush,
                                     Terminate, PasswordMessage, CopyMessage, FunctionCall>;

/** @param payload of a message of the start-up phase. */
StatusWith<StartupPacket> parseStartupPacket(const QByteArray& payload);

StatusWith<Query> parseQuery(const QByteArray& payload);
StatusWith<Parse> parseParse(const QByteArray& payload);
StatusWith<Bind> parseBind(const QByteArray& payload);
StatusWith<Describe> parseDescribe(const QByteArray& payload);
StatusWith<Execute> parseExecute(const QByteArray& payload);
StatusWith<Close> parseClose(const QByteArray& payload);
StatusWith<PasswordMessage> parsePassword(const QByteArray& payload);

/**
 * Decodes any message of the regular phase.
 * @return ProtocolViolation also for an unknown type byte.
 */
StatusWith<FrontendMessage> parseFrontendMessage(const RawMessage& message);

/** @return the packet that asks a server to cancel, length word included. */
QByteArray encodeCancelRequest(const CancelRequest& request);

}  // namespace coralhoist::pgwire
