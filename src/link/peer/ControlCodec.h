/** Messages of membership and of the settings distribution as bytes. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "base/Status.h"
#include "zone/DistributionMessage.h"
#include "zone/MembershipMessage.h"

namespace coralhoist::peer {

/** Largest message that goes as a datagram; a larger one goes over the peer link. */
constexpr std::size_t kControlDatagramBytes = 1200;

/** What a control message may be. */
using ControlMessage = std::variant<zone::MembershipMessage, zone::DistributionMessage>;

/** @return the message in Thrift's compact protocol; at most kControlDatagramBytes. */
std::string encodeControl(const zone::MembershipMessage& message);

/** @return the message in Thrift's compact protocol, of any size. */
std::string encodeControl(const zone::DistributionMessage& message);

/** @return the message, or ProtocolViolation when the bytes are not exactly one message. */
StatusWith<ControlMessage> decodeControl(std::string_view bytes);

}  // namespace coralhoist::peer
