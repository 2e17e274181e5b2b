/** Translation between the failure detector's messages and their Thrift structs. */
#pragma once

#include "base/Status.h"
#include "gen/membership_types.h"
#include "zone/MembershipMessage.h"

namespace coralhoist::peer {

/** @return the Thrift struct of a message. */
gen::MembershipMessage toThrift(const zone::MembershipMessage& message);

/** @return the message, or ProtocolViolation when a field is out of its range. */
StatusWith<zone::MembershipMessage> fromThrift(const gen::MembershipMessage& message);

}  // namespace coralhoist::peer
