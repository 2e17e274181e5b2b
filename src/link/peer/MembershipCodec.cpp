#include "link/peer/MembershipCodec.h"

#include <utility>

#include "base/Error.h"
#include "link/peer/ControlCodec.h"

namespace coralhoist::peer {

std::string encodeMembership(const zone::MembershipMessage& message) {
    return encodeControl(message);
}

StatusWith<zone::MembershipMessage> decodeMembership(std::string_view bytes) {
    auto decoded = decodeControl(bytes);
    if (!decoded.isOk()) {
        return decoded.status();
    }
    auto* membership = std::get_if<zone::MembershipMessage>(&decoded.value());
    if (membership == nullptr) {
        return Status(ErrorCode::ProtocolViolation, "not a membership message");
    }
    return std::move(*membership);
}

}  // namespace coralhoist::peer
