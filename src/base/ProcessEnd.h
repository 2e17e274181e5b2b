/** The end of a process. */
#pragma once

namespace coralhoist {

/**
 * Ends the process at once: buffered output of the C library is written, handlers of the exit and
 * destructors of static objects are not run. Call as the last step of main, when everything that
 * must be closed is closed.
 *
 * The logging library starts threads before main and waits for them, without bound, in a static
 * destructor. This program has no use for those threads, and one that isn't scheduled any more
 * would keep a stopped process alive until it is killed.
 */
[[noreturn]] void endProcess(int exitCode);

}  // namespace coralhoist
