/** Frames of the link on which nodes forward units of work: Thrift structs behind a length. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Status.h"
#include "pooling/UnitForwarding.h"

namespace coralhoist::forwarding {

/** Largest frame in bytes; larger ones end the link. */
constexpr std::size_t kLargestFrame = 4U << 20U;

/** What one frame says. */
struct UnitMessage {
    enum class Kind {
        Request,        /**< `unit`, `statement`, and `opening` with the first one. */
        Answer,         /**< `unit` and `result`. */
        Declined,       /**< The node takes no new unit; nothing of `unit` has run. */
        Ended,          /**< `unit` is given up. */
        HeartbeatAsked, /**< To be answered with Heartbeat. */
        Heartbeat,
        Leaving, /**< The sender takes no new units. */
    };
    Kind kind = Kind::Heartbeat;
    UnitId unit;
    std::optional<pooling::UnitOpening> opening;
    pooling::UnitStatement statement;
    pooling::UnitResult result;
};

/** Appends one frame. */
void encode(std::string& out, const UnitMessage& message);

/**
 * Takes the first frame from the front of the buffer.
 * @return nothing while it is incomplete; ProtocolViolation when it can't be understood.
 */
std::optional<StatusWith<UnitMessage>> takeMessage(std::string& buffer);

}  // namespace coralhoist::forwarding
