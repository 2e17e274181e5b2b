/** Builds the status query and parses its result. */
#pragma once

#include <optional>
#include <string>

#include "contract/BackendConnector.h"
#include "machine/ServerStatus.h"

namespace coralhoist::contract {

/** @return a captured command, in a separate segment, that queries a server's status. */
BackendCommand makeStatusCommand(const std::string& statusQuery);

/**
 * @param outcome of a status command: one row of in recovery (boolean), term, received position and
 * replayed position (decimal numbers; NULL counts as 0).
 * @return empty when the command failed or the row has a different format.
 */
std::optional<machine::ServerStatus> readStatus(const CommandOutcome& outcome);

}  // namespace coralhoist::contract
