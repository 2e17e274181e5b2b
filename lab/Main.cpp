/** coralhoist-lab: stand-ins of the outside world, load and experiments, one subcommand each. */
#include <cstdio>
#include <cstring>

#include "lab/benchmark/BenchmarkCommand.h"
#include "lab/database/DatabaseCommand.h"
#include "lab/experiment/Commands.h"
#include "lab/platform/PlatformCommand.h"
#include "lab/soak/SoakCommand.h"

namespace {

constexpr int kBadCommandLine = 2;

/** One subcommand. */
struct Subcommand {
    const char* name;
    const char* summary;
    int (*run)(int argumentCount, char** arguments);
};

constexpr Subcommand kSubcommands[] = {
    {"benchmark", "point reads through a proxy and straight to a server",
     coralhoist::lab::runBenchmarkCommand},
    {"database", "stand-in for a database group", coralhoist::lab::database::runDatabaseCommand},
    {"platform", "stand-in for the platform's object API", coralhoist::lab::runPlatformCommand},
    {"run", "experiment: both measures and latencies beside baselines, in simulated time",
     coralhoist::experiment::runRunCommand},
    {"soak", "real proxies under faults from outside, judged by what callers and servers see",
     coralhoist::soak::runSoakCommand},
    {"compare", "what changed between two reports of run, and whether beyond noise",
     coralhoist::experiment::runCompareCommand},
};

void printUsage(std::FILE* stream) {
    std::fprintf(stream, "usage: coralhoist-lab SUBCOMMAND [--help] [FLAGS]\n\nsubcommands:\n");
    for (const Subcommand& subcommand : kSubcommands) {
        std::fprintf(stream, "  %-12s %s\n", subcommand.name, subcommand.summary);
    }
}

}  // namespace

int main(int argumentCount, char** arguments) {
    if (argumentCount < 2) {
        printUsage(stderr);
        return kBadCommandLine;
    }
    if (std::strcmp(arguments[1], "--help") == 0) {
        printUsage(stdout);
        return 0;
    }
    for (const Subcommand& subcommand : kSubcommands) {
        if (std::strcmp(arguments[1], subcommand.name) == 0) {
            return subcommand.run(argumentCount - 1, arguments + 1);
        }
    }
    std::fprintf(stderr, "coralhoist-lab: no subcommand %s\n", arguments[1]);
    printUsage(stderr);
    return kBadCommandLine;
}
