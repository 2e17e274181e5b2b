#include "base/ProcessEnd.h"

#include <cstdio>
#include <cstdlib>

namespace coralhoist {

void endProcess(int exitCode) {
    std::fflush(nullptr);
    std::quick_exit(exitCode);
}

}  // namespace coralhoist
