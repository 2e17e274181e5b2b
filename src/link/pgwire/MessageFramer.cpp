#include "link/pgwire/MessageFramer.h"

#include <QtEndian>
#include <string>

#include "base/Error.h"

namespace coralhoist::pgwire {
namespace {

constexpr std::uint32_t kLengthBytes = 4;
/** Length word and request code. */
constexpr std::uint32_t kSmallestStartupLength = 8;

}  // namespace

void MessageFramer::feed(const QByteArray& chunk) {
    if (!_failure.isOk()) {
        return;
    }
    discardConsumed();
    _buffer.append(chunk);
}

// The buffer is shifted only when at least half of it was consumed, so that each byte is moved at
// most once on average.
void MessageFramer::discardConsumed() {
    if (_offset == _buffer.size()) {
        _buffer.clear();
        _offset = 0;
    } else if (_offset >= _buffer.size() - _offset) {
        _buffer.remove(0, _offset);
        _offset = 0;
    }
}

StatusWith<std::optional<RawMessage>> MessageFramer::fail(std::uint32_t length) {
    _failure =
        Status(ErrorCode::ProtocolViolation, "invalid message length " + std::to_string(length));
    _buffer.clear();
    _offset = 0;
    return _failure;
}

StatusWith<std::optional<RawMessage>> MessageFramer::next() {
    if (!_failure.isOk()) {
        return _failure;
    }
    const qsizetype typeBytes = _startupPhase ? 0 : 1;
    if (bufferedBytes() < typeBytes + kLengthBytes) {
        return std::optional<RawMessage>();
    }
    const char* start = _buffer.constData() + _offset;
    const auto length = qFromBigEndian<std::uint32_t>(start + typeBytes);
    const std::uint32_t smallest = _startupPhase ? kSmallestStartupLength : kLengthBytes;
    const std::uint32_t largest = _startupPhase ? _limits.startupBytes : _limits.messageBytes;
    if (length < smallest || length > largest) {
        return fail(length);
    }
    if (bufferedBytes() < typeBytes + static_cast<qsizetype>(length)) {
        return std::optional<RawMessage>();
    }
    RawMessage message;
    message.type = _startupPhase ? kStartupPhaseType : *start;
    message.payload = QByteArray(start + typeBytes + kLengthBytes, length - kLengthBytes);
    _offset += typeBytes + static_cast<qsizetype>(length);
    return std::optional<RawMessage>(std::move(message));
}

}  // namespace coralhoist::pgwire
