/** The subcommand `coralhoist-lab database`. */
#pragma once

namespace coralhoist::lab::database {

/**
 * Runs one stand-in group until SIGTERM or SIGINT.
 * @return the exit code: 0, 1 when it can't start, or 2 for a mistake in the options.
 */
int runDatabaseCommand(int argumentCount, char** arguments);

}  // namespace coralhoist::lab::database
