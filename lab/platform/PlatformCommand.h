/** The subcommand `coralhoist-lab platform`. */
#pragma once

namespace coralhoist::lab {

/**
 * Runs the stand-in platform until it is ended by a signal. Prints one JSON line with its address
 * and port on standard output once it listens.
 * @param argumentCount,arguments the subcommand's own, its name first.
 * @return the exit code: 0, 1 when it can't start, 2 for a bad command line.
 */
int runPlatformCommand(int argumentCount, char** arguments);

}  // namespace coralhoist::lab
