/** Thrift structs to bytes and back, with the compact protocol and limits against hostile input. */
#pragma once

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/Error.h"
#include "base/Status.h"

namespace coralhoist::frame {

/** Bounds that a received struct must keep. */
struct ThriftLimits {
    /** Longest string or binary field in bytes. */
    std::int32_t stringBytes = 1 << 24;
    /** Most elements of one list, set or map. */
    std::int32_t containerElements = 1 << 16;
    /** Deepest nesting of structs and containers. */
    int recursionDepth = 32;
};

/**
 * @param value a generated Thrift struct.
 * @return its bytes in the compact protocol.
 */
template <typename Struct>
std::string encodeThrift(const Struct& value) {
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
        buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/**
 * @param bytes exactly one struct in the compact protocol.
 * @param limits bounds that the struct must keep.
 * @return the struct, or ProtocolViolation with the reason. Memory use is bounded by the limits and
 * by the number of bytes, not by sizes that the bytes claim.
 */
template <typename Struct>
StatusWith<Struct> decodeThrift(std::string_view bytes, const ThriftLimits& limits = {}) {
    using apache::thrift::TConfiguration;
    using apache::thrift::transport::TMemoryBuffer;
    try {
        // Copies, because Thrift's library does not define these constants for use by reference.
        // Copies: Thrift declares these constants without defining them, so that a reference to
        // them does not link in every build.
        const int largestMessage = TConfiguration::DEFAULT_MAX_MESSAGE_SIZE;
        const int largestFrame = TConfiguration::DEFAULT_MAX_FRAME_SIZE;
        const auto configuration =
            std::make_shared<TConfiguration>(largestMessage, largestFrame, limits.recursionDepth);
        // The buffer only observes the bytes; Thrift's interface lacks the const.
        auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(
            start, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
            buffer, limits.stringBytes, limits.containerElements);
        Struct value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            return Status(ErrorCode::ProtocolViolation, "bytes after the end of the message");
        }
        return value;
    } catch (const std::exception& error) {
        return Status(ErrorCode::ProtocolViolation,
                      std::string("malformed message: ") + error.what());
    }
}

}  // namespace coralhoist::frame
