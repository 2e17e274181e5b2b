/** The subcommands "run" and "compare" of coralhoist-lab. */
#pragma once

namespace coralhoist::experiment {

/** Runs a scenario. @return the exit code: 1 when coralhoist broke a promise, 2 for bad input. */
int runRunCommand(int argumentCount, char** arguments);

/** Compares two reports. @return the exit code: 0, or 2 for bad input. */
int runCompareCommand(int argumentCount, char** arguments);

}  // namespace coralhoist::experiment
