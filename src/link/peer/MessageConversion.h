/** Conversion between the contract's types and the messages of the peer link. */
#pragma once

#include <cstdint>

#include "base/Status.h"
#include "base/Time.h"
#include "contract/Execution.h"
#include "gen/peer_types.h"

namespace coralhoist::peer {

/**
 * @param request the batch; its id on the wire and the time left are set apart.
 * @param wireId number of the request on the link.
 * @param remaining time left until the deadline; rounded down to milliseconds, not below zero.
 * @param window bytes of response that may come before the first credit.
 */
gen::Execute toWire(const contract::ExecutionRequest& request, std::int64_t wireId,
                    Duration remaining, std::int64_t window);

/**
 * @param message request and session numbers are the sender's.
 * @param now the deadline is counted from here.
 * @return the batch, or ProtocolViolation for values out of range.
 */
StatusWith<contract::ExecutionRequest> fromWire(gen::Execute&& message, TimePoint now);

gen::ExecutionEnd toWire(std::int64_t wireId, const contract::ExecutionResult& result);

/** @return the result, or ProtocolViolation for values out of range. */
StatusWith<contract::ExecutionResult> fromWire(gen::ExecutionEnd&& message);

/** @return a message with one member. */
gen::PeerMessage toMessage(gen::Hello&& hello);
gen::PeerMessage toMessage(gen::Heartbeat&& heartbeat);
gen::PeerMessage toMessage(gen::Goodbye&& goodbye);
gen::PeerMessage toMessage(gen::Execute&& execute);
gen::PeerMessage toMessage(gen::ResponseChunk&& chunk);
gen::PeerMessage toMessage(gen::ExecutionEnd&& end);
gen::PeerMessage toMessage(gen::Credit&& credit);
gen::PeerMessage toMessage(gen::Cancel&& cancel);
gen::PeerMessage toMessage(gen::EndSession&& end);
gen::PeerMessage toMessage(gen::SettingsFrame&& frame);

/** @return whether the message has exactly one member, as a union must. */
bool isWellFormed(const gen::PeerMessage& message);

}  // namespace coralhoist::peer
