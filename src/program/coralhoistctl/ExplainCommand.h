/** `settings explain`. */
#pragma once

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** Prints all keys, everything about one key, or the page docs/SETTINGS.md. Needs no proxy. */
ExitCode settingsExplain(const CommandContext& context, const Arguments& arguments);

}  // namespace coralhoist::ctl
