#include "link/peer/ControlCodec.h"

#include <utility>

#include "base/Error.h"
#include "link/frame/ThriftCodec.h"
#include "link/peer/DistributionStructs.h"
#include "link/peer/MembershipStructs.h"

namespace coralhoist::peer {
namespace {

template <typename Message>
StatusWith<ControlMessage> widen(StatusWith<Message> message) {
    if (!message.isOk()) {
        return message.status();
    }
    return ControlMessage(std::move(message).value());
}

}  // namespace

std::string encodeControl(const zone::MembershipMessage& message) {
    gen::ControlDatagram datagram;
    datagram.__set_membership(toThrift(message));
    return frame::encodeThrift(datagram);
}

std::string encodeControl(const zone::DistributionMessage& message) {
    gen::ControlDatagram datagram;
    datagram.__set_distribution(toThrift(message));
    return frame::encodeThrift(datagram);
}

StatusWith<ControlMessage> decodeControl(std::string_view bytes) {
    const auto datagram = frame::decodeThrift<gen::ControlDatagram>(bytes);
    if (!datagram.isOk()) {
        return datagram.status();
    }
    if (datagram.value().__isset.membership) {
        return widen(fromThrift(datagram.value().membership));
    }
    if (datagram.value().__isset.distribution) {
        return widen(fromThrift(datagram.value().distribution));
    }
    return Status(ErrorCode::ProtocolViolation, "control message of an unknown kind");
}

}  // namespace coralhoist::peer
