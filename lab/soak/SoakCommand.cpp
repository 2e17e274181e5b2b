#include "lab/soak/SoakCommand.h"

#include <QCoreApplication>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "base/Log.h"
#include "lab/soak/SoakCases.h"
#include "lab/soak/SoakRun.h"
#include "program/PoptContext.h"

namespace coralhoist::soak {
namespace {

constexpr int kKept = 0;
constexpr int kBroken = 1;
constexpr int kBadCommandLine = 2;

/** Values of the flags; popt writes into them. */
struct SoakFlags {
    long seed = 1;
    int runs = 1;
    int seconds = 20;
    int recoverySeconds = 6;
    int proxies = 4;
    int callers = 24;
    int calm = 0;
    int answersEarly = 0;
    int tenants = 0;
    int settings = 0;
    int stops = 0;
    int freezes = 0;
    int returns = 0;
    int evacuations = 0;
    std::string program;
    std::string logFolder = ".";
    std::string casesFile;
};

bool parseFlags(int argumentCount, char** arguments, SoakFlags& flags) {
    program::PoptText programFile;
    program::PoptText logFolder;
    program::PoptText casesFile;
    const poptOption options[] = {
        {"seed", 's', POPT_ARG_LONG, &flags.seed, 0, "seed of the first run", "N"},
        {"runs", 'r', POPT_ARG_INT, &flags.runs, 0, "runs, each with the next seed", "N"},
        {"seconds", 't', POPT_ARG_INT, &flags.seconds, 0, "seconds with faults in each run", "S"},
        {"recovery", 0, POPT_ARG_INT, &flags.recoverySeconds, 0,
         "seconds to recover in after the faults, 6 at least", "S"},
        {"proxies", 'p', POPT_ARG_INT, &flags.proxies, 0, "proxies to start", "N"},
        {"callers", 'c', POPT_ARG_INT, &flags.callers, 0, "sessions at a time", "N"},
        {"calm", 0, POPT_ARG_NONE, &flags.calm, 0, "no faults", nullptr},
        {"answers-early", 0, POPT_ARG_NONE, &flags.answersEarly, 0,
         "servers answer commits before a replica has them: the judge must object", nullptr},
        {"tenants", 0, POPT_ARG_NONE, &flags.tenants, 0,
         "callers come as three tenants, of which one sends many times its quota", nullptr},
        {"settings", 0, POPT_ARG_NONE, &flags.settings, 0,
         "settings change in quick succession beside outages of the store and lost sources",
         nullptr},
        {"returns", 0, POPT_ARG_NONE, &flags.returns, 0,
         "the store returns from older copies, in series, beside the other faults", nullptr},
        {"evacuations", 0, POPT_ARG_NONE, &flags.evacuations, 0,
         "zones are evacuated and given back in series, in place of the other faults", nullptr},
        {"stops", 0, POPT_ARG_NONE, &flags.stops, 0,
         "proxies stop as planned while servers refuse or are slow: all is answered", nullptr},
        {"freezes", 0, POPT_ARG_NONE, &flags.freezes, 0,
         "proxies freeze in the steps of promotions, in place of the other faults", nullptr},
        {"program", 'P', POPT_ARG_STRING, &programFile.text, 0, "the proxy's program", "FILE"},
        {"logs", 'l', POPT_ARG_STRING, &logFolder.text, 0, "folder for the proxies' logs", "DIR"},
        {"cases", 0, POPT_ARG_STRING, &casesFile.text, 0,
         "plays the runs that a file lists, in place of --seed, --runs, --seconds and --proxies",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext(
        "coralhoist-lab soak", argumentCount, const_cast<const char**>(arguments), options, 0));
    const int result = poptGetNextOpt(context.get());
    flags.program = programFile.valueOr(flags.program);
    flags.logFolder = logFolder.valueOr(flags.logFolder);
    flags.casesFile = casesFile.valueOr(flags.casesFile);
    if (result < -1) {
        std::fprintf(stderr, "coralhoist-lab soak: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(result));
        return false;
    }
    const bool sensible =
        flags.runs > 0 && flags.seconds > 0 && flags.proxies > 0 && flags.callers > 0;
    if (!sensible || flags.program.empty()) {
        std::fprintf(stderr, "coralhoist-lab soak: %s\n",
                     sensible ? "--program must be given" : "numbers must be above 0");
        return false;
    }
    return true;
}

/** @return the runs that are asked for; nothing when the list of cases can't be read. */
std::optional<std::vector<SoakCase>> casesOf(const SoakFlags& flags) {
    if (!flags.casesFile.empty()) {
        std::ifstream input(flags.casesFile);
        return input ? readCases(input) : std::nullopt;
    }
    std::vector<SoakCase> cases;
    cases.reserve(static_cast<std::size_t>(flags.runs));
    for (int run = 0; run < flags.runs; ++run) {
        cases.push_back({static_cast<std::uint64_t>(flags.seed + run),
                         static_cast<std::uint32_t>(flags.seconds),
                         static_cast<std::uint32_t>(flags.proxies)});
    }
    return cases;
}

SoakOptions optionsOf(const SoakFlags& flags, const SoakCase& chosen) {
    SoakOptions options;
    options.seed = chosen.seed;
    options.seconds = chosen.seconds;
    options.proxies = chosen.proxies;
    options.recoverySeconds = static_cast<std::uint32_t>(flags.recoverySeconds);
    options.callers = static_cast<std::uint32_t>(flags.callers);
    options.faults = flags.calm == 0;
    options.tenants = flags.tenants != 0;
    options.settings = flags.settings != 0;
    options.stops = flags.stops != 0;
    options.freezes = flags.freezes != 0;
    options.returns = flags.returns != 0;
    options.evacuations = flags.evacuations != 0;
    options.program = flags.program;
    options.logFolder = flags.logFolder;
    options.group.answersEarly = flags.answersEarly != 0;
    return options;
}

/** @return whether the run kept every promise and recovered. */
bool print(const SoakOptions& options, const SoakReport& report) {
    const bool kept = report.violations.empty() && report.recovered;
    const auto recovery = std::chrono::duration_cast<std::chrono::milliseconds>(report.recovery);
    std::printf(
        "seed %llu: %s; %llu answers, %llu failed, %zu commits, %zu in the last 2 s, "
        "%llu promotions, %zu faults, %lld ms after them\n",
        static_cast<unsigned long long>(options.seed), kept ? "kept" : "BROKEN",
        static_cast<unsigned long long>(report.answered),
        static_cast<unsigned long long>(report.failed), report.acknowledged,
        report.acknowledgedAfterFaults, static_cast<unsigned long long>(report.promotions),
        report.faults, static_cast<long long>(recovery.count()));
    if (!report.quotas.empty()) {
        std::printf("  units in the busiest window of each tenant:%s\n", report.quotas.c_str());
    }
    if (report.settingsJudged > 0) {
        std::printf("  %zu answers held to the bound of the settings\n", report.settingsJudged);
    }
    if (report.evacuationsJudged > 0) {
        std::printf("  %zu evacuations held to their bound\n", report.evacuationsJudged);
    }
    if (!kept) {
        for (const std::string& violation : report.violations) {
            std::printf("  %s\n", violation.c_str());
        }
        std::printf("%s", report.recovered ? "" : "  did not recover\n");
        for (const std::string& note : report.timeline) {
            std::printf("    %s\n", note.c_str());
        }
    }
    std::fflush(stdout);
    return kept;
}

}  // namespace

int runSoakCommand(int argumentCount, char** arguments) {
    SoakFlags flags;
    if (!parseFlags(argumentCount, arguments, flags)) {
        return kBadCommandLine;
    }
    const std::optional<std::vector<SoakCase>> cases = casesOf(flags);
    if (!cases) {
        std::fprintf(stderr, "coralhoist-lab soak: %s can't be read\n", flags.casesFile.c_str());
        return kBadCommandLine;
    }
    QCoreApplication application(argumentCount, arguments);
    std::size_t broken = 0;
    for (const SoakCase& each : *cases) {
        const SoakOptions options = optionsOf(flags, each);
        const SoakReport report = runSoak(options);
        if (!report.problem.empty()) {
            std::fprintf(stderr, "coralhoist-lab soak: %s\n", report.problem.c_str());
            return kBadCommandLine;
        }
        broken += print(options, report) ? 0 : 1;
    }
    std::printf("%zu runs, %zu broken\n", cases->size(), broken);
    return broken == 0 ? kKept : kBroken;
}

}  // namespace coralhoist::soak
