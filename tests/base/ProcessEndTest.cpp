#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>

#include "base/ProcessEnd.h"

namespace coralhoist {
namespace {

using std::chrono::milliseconds;

/** Far longer than an end takes on a busy machine. */
constexpr milliseconds kLongestEnd{20000};
constexpr milliseconds kPollPause{5};

/** @return the exit code of the child; nothing when it had to be killed. */
std::optional<int> exitCodeOf(pid_t child) {
    const auto giveUpAt = std::chrono::steady_clock::now() + kLongestEnd;
    int status = 0;
    while (waitpid(child, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            kill(child, SIGKILL);
            waitpid(child, &status, 0);
            return std::nullopt;
        }
        std::this_thread::sleep_for(kPollPause);
    }
    return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
}

TEST_GROUP(ProcessEnd){};

// A forked child has none of the threads that the logging library started before main, so whatever
// waits for them waits for ever.
TEST(ProcessEnd, WaitsForNoThreadOfALibrary) {
    constexpr int kExitCode = 7;
    const pid_t child = fork();
    CHECK_TRUE(child >= 0);
    if (child == 0) {
        endProcess(kExitCode);
    }
    const std::optional<int> exitCode = exitCodeOf(child);
    CHECK_TRUE(exitCode.has_value());
    LONGS_EQUAL(kExitCode, *exitCode);
}

}  // namespace
}  // namespace coralhoist
