/** `drain` and `version`. */
#pragma once

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** Drains the proxy that is asked, another proxy or a database server; with --undo takes it back.
 */
ExitCode drain(const CommandContext& context, const Arguments& arguments);
/** Prints the versions of this program and of the proxy. */
ExitCode showVersion(const CommandContext& context, const Arguments& arguments);

}  // namespace coralhoist::ctl
