/** `settings set`, `unset`, `delete`, `diff` and `validate`. */
#pragma once

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** Sets values of a node; makes the node if there is none. */
ExitCode settingsSet(const CommandContext& context, const Arguments& arguments);
/** Removes values of a node, so that they are inherited again. */
ExitCode settingsUnset(const CommandContext& context, const Arguments& arguments);
/** Deletes a node. */
ExitCode settingsDelete(const CommandContext& context, const Arguments& arguments);
/** Shows what `settings set` with the same arguments would change. */
ExitCode settingsDiff(const CommandContext& context, const Arguments& arguments);
/** Checks what `settings set` with the same arguments would be told, and changes nothing. */
ExitCode settingsValidate(const CommandContext& context, const Arguments& arguments);

}  // namespace coralhoist::ctl
