/** Translation between the settings distribution's messages and their Thrift structs. */
#pragma once

#include "base/Status.h"
#include "gen/distribution_types.h"
#include "zone/DistributionMessage.h"

namespace coralhoist::peer {

/** @return the Thrift struct of a message; large batches of records are compressed. */
gen::DistributionMessage toThrift(const zone::DistributionMessage& message);

/** @return the message, or ProtocolViolation when a field is out of its range. */
StatusWith<zone::DistributionMessage> fromThrift(const gen::DistributionMessage& message);

}  // namespace coralhoist::peer
