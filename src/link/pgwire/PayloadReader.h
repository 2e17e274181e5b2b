/** Bounds-checked decoding of the fields of one message. */
#pragma once

#include <QByteArray>
#include <QtEndian>
#include <cstdint>
#include <string>

namespace coralhoist::pgwire {

/**
 * Reads big-endian integers and strings from a payload. A read past the end yields an empty value
 * and marks the reader as failed for good, so callers check once, at the end, with isComplete.
 */
class PayloadReader {
public:
    /** @param payload outlives the reader. */
    explicit PayloadReader(const QByteArray& payload) : _payload(payload) {}

    template <typename Integer>
    Integer readInteger() {
        if (remaining() < static_cast<qsizetype>(sizeof(Integer))) {
            _failed = true;
            return Integer{};
        }
        const auto value = qFromBigEndian<Integer>(_payload.constData() + _position);
        _position += static_cast<qsizetype>(sizeof(Integer));
        return value;
    }

    /** @return the bytes up to the next zero byte, which is consumed too. */
    std::string readCString() {
        const qsizetype end = _failed ? -1 : _payload.indexOf('\0', _position);
        if (end < 0) {
            _failed = true;
            return {};
        }
        std::string value(_payload.constData() + _position,
                          static_cast<std::size_t>(end - _position));
        _position = end + 1;
        return value;
    }

    /** @param count bytes to read; negative fails. */
    std::string readBytes(std::int32_t count) {
        if (count < 0 || remaining() < count) {
            _failed = true;
            return {};
        }
        std::string value(_payload.constData() + _position, static_cast<std::size_t>(count));
        _position += count;
        return value;
    }

    /** Marks the payload as malformed. */
    void fail() { _failed = true; }
    bool hasFailed() const { return _failed; }
    /** @return unread bytes; none after a failure. */
    qsizetype remaining() const { return _failed ? 0 : _payload.size() - _position; }
    /** @return whether all fields were read and nothing is left over. */
    bool isComplete() const { return !_failed && _position == _payload.size(); }

private:
    const QByteArray& _payload;
    qsizetype _position = 0;
    bool _failed = false;
};

}  // namespace coralhoist::pgwire
