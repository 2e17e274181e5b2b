/** `status`. */
#pragma once

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** Prints what needs attention first, then members, groups and sessions as one proxy sees them. */
ExitCode showStatus(const CommandContext& context, const Arguments& arguments);

}  // namespace coralhoist::ctl
