/** Datagrams of the failure detector as bytes; see ControlCodec for all control messages. */
#pragma once

#include <string>
#include <string_view>

#include "base/Status.h"
#include "zone/MembershipMessage.h"

namespace coralhoist::peer {

/** @return the message as encodeControl() writes it. */
std::string encodeMembership(const zone::MembershipMessage& message);

/** @return the message, or ProtocolViolation when the bytes are not exactly one such message. */
StatusWith<zone::MembershipMessage> decodeMembership(std::string_view bytes);

}  // namespace coralhoist::peer
