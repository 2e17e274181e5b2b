/** `settings get`, `list`, `effective`, `history` and `watch`. */
#pragma once

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** Prints a node's own values, or one of them. */
ExitCode settingsGet(const CommandContext& context, const Arguments& arguments);
/** Prints the nodes at and below a path. */
ExitCode settingsList(const CommandContext& context, const Arguments& arguments);
/** Prints every value in force for a path with its source. */
ExitCode settingsEffective(const CommandContext& context, const Arguments& arguments);
/** Prints recent changes that the proxy saw. */
ExitCode settingsHistory(const CommandContext& context, const Arguments& arguments);
/** Prints changes as they take effect on the proxy. */
ExitCode settingsWatch(const CommandContext& context, const Arguments& arguments);

}  // namespace coralhoist::ctl
