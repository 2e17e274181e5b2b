/** Frames by which nodes ask each other for proofs of leadership and for changes of the store. */
#pragma once

#include <optional>

#include "gen/unit_types.h"
#include "link/forwarding/UnitCodec.h"

namespace coralhoist::forwarding {

/** @return whether the frame holds such a question or its answer. */
bool isQuestionFrame(const gen::UnitFrame& frame);

/** @return what such a frame says; nothing when it can't be understood. */
std::optional<UnitMessage> readQuestionFrame(const gen::UnitFrame& frame);

/** Fills the frame with a message of such a kind. */
void writeQuestionFrame(const UnitMessage& message, gen::UnitFrame& frame);

}  // namespace coralhoist::forwarding
