/** Cuts the byte stream of a PostgreSQL protocol 3 client into messages. */
#pragma once

#include <QByteArray>
#include <cstdint>
#include <optional>

#include "base/Status.h"

namespace coralhoist::pgwire {

/** One message of a client, still encoded. */
struct RawMessage {
    /** Type byte; kStartupPhaseType for messages of the start-up phase, which carry none. */
    char type = '\0';
    /** The bytes that follow the length word. */
    QByteArray payload;
};

/** RawMessage::type of a message of the start-up phase. */
inline constexpr char kStartupPhaseType = '\0';

/** Largest accepted messages, in bytes, length word included. */
struct FramerLimits {
    /** PostgreSQL's own limit of a start-up packet. */
    std::uint32_t startupBytes = 10000;
    std::uint32_t messageBytes = 64U * 1024U * 1024U;
};

/**
 * Takes chunks as they come from a socket and yields whole messages.
 *
 * A framer begins in the start-up phase and stays there, because a client may send SSLRequest or
 * GSSENCRequest before its StartupMessage; the owner ends the phase with enterRegularPhase once a
 * StartupMessage was accepted. Memory is bounded by the bytes fed: a length word alone reserves
 * nothing. Each byte is copied a constant number of times, however the chunks are cut.
 */
class MessageFramer {
public:
    explicit MessageFramer(FramerLimits limits = {}) : _limits(limits) {}

    /** @param chunk the next bytes of the stream, of any size. */
    void feed(const QByteArray& chunk);

    /** The following bytes are messages with a type byte. */
    void enterRegularPhase() { _startupPhase = false; }

    /**
     * @return the next whole message, no value when more bytes are needed, or ProtocolViolation for
     *         a length that is too small or above the limit. After an error every call returns it.
     */
    StatusWith<std::optional<RawMessage>> next();

    /** @return bytes fed and not yet returned. */
    qsizetype bufferedBytes() const { return _buffer.size() - _offset; }

private:
    StatusWith<std::optional<RawMessage>> fail(std::uint32_t length);
    void discardConsumed();

    FramerLimits _limits;
    bool _startupPhase = true;
    QByteArray _buffer;
    /** Bytes at the front of _buffer that were returned already. */
    qsizetype _offset = 0;
    Status _failure;
};

}  // namespace coralhoist::pgwire
