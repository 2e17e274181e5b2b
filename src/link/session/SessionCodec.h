/**
 * What an adapter supplies to speak its wire format on both sides: towards callers and towards
 * servers. Codecs hold no connection and decide nothing.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "pooling/ServerLink.h"
#include "pooling/Statement.h"

namespace coralhoist::session {

/** A message of a caller. */
struct CallerMessage {
    enum class Kind {
        Connect,   /**< Opens the session; `database` and `credential` are set. */
        Query,     /**< `statement` is set. */
        Goodbye,   /**< Ends the session. */
        Malformed, /**< Can't be understood; `problem` says why. */
        TooLarge,  /**< Longer than the format allows; nothing after it can be read. */
    };
    Kind kind = Kind::Malformed;
    std::string database;
    /** Who the caller is; empty when it did not say. */
    std::string credential;
    pooling::Statement statement;
    std::string problem;
};

/** A message of a server. */
struct ServerMessage {
    enum class Kind {
        Row,       /**< `text` is one row. */
        Completed, /**< `text` is the signature; empty for none. */
        Error,     /**< `error` is set. */
        Ready,     /**< Ends an answer; `state` and `position` are set. */
        Malformed,
    };
    Kind kind = Kind::Malformed;
    std::string text;
    pooling::StatementError error;
    pooling::SessionState state = pooling::SessionState::Idle;
    OpTime position;
};

/** A decoded message and how many bytes of the buffer it took. */
template <typename Message>
struct Decoded {
    Message message;
    std::size_t bytes = 0;
};

/** The callers' side. */
class CallerCodec {
public:
    virtual ~CallerCodec() = default;

    /** @return the first message of the buffer, or nothing while it is incomplete. */
    virtual std::optional<Decoded<CallerMessage>> decode(std::string_view buffer) const = 0;

    /** Appends the answer to Connect of a session that was opened. */
    virtual void encodeReady(std::string& out) const = 0;

    /** Appends the answer to Connect of a session that was refused. */
    virtual void encodeRefusal(std::string& out, const pooling::StatementError& error) const = 0;

    /** Appends the answer to a query. */
    virtual void encodeResult(std::string& out, const pooling::StatementResult& result) const = 0;
};

/** The servers' side. */
class ServerCodec {
public:
    virtual ~ServerCodec() = default;

    /** Appends the first message of a connection. @param tenant empty for a connection of the
     * proxy's own. */
    virtual void encodeConnect(std::string& out, const pooling::ServerAddress& address,
                               const TenantName& tenant) const = 0;

    /** Appends a command. */
    virtual void encode(std::string& out, const pooling::ServerCommand& command) const = 0;

    /** @return the first message of the buffer, or nothing while it is incomplete. */
    virtual std::optional<Decoded<ServerMessage>> decode(std::string_view buffer) const = 0;
};

}  // namespace coralhoist::session
