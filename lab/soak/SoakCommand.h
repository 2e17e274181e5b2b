/** coralhoist-lab soak: real proxies under faults, judged by what callers and servers see. */
#pragma once

namespace coralhoist::soak {

/** @return 0 when every promise was kept and service recovered, 1 otherwise, 2 for a bad command
 * line. */
int runSoakCommand(int argumentCount, char** arguments);

}  // namespace coralhoist::soak
