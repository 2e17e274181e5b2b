/** Subcommand `coralhoist-lab benchmark`. */
#pragma once

namespace coralhoist::lab {

/** @return the exit code: 0 done, 1 a read failed, 2 a bad command line. */
int runBenchmarkCommand(int argumentCount, char** arguments);

}  // namespace coralhoist::lab
