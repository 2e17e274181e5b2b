
#include <QSaveFile>
#include <algorithm>
#include <cstdio>
#include <string>

#include "base/Error.h"
#include "lab/experiment/Commands.h"
#include "lab/experiment/ExperimentRun.h"
#include "lab/experiment/HtmlReport.h"
#include "lab/experiment/JsonReport.h"
#include "lab/experiment/ScenarioFile.h"
#include "lab/experiment/TextReport.h"
#include "program/PoptContext.h"

namespace coralhoist::experiment {
namespace {

constexpr int kBrokenPromise = 1;
constexpr int kBadInput = 2;
constexpr int kMostRepeats = 1000;

/** Values of the flags. */
struct RunFlags {
    std::string scenarioFile;
    int seed = 1;
    int repeats = 1;
    std::string jsonFile;
    std::string htmlFile;
    bool onlyCoralhoist = false;
};

Status parseFlags(int argumentCount, char** arguments, RunFlags& flags) {
    program::PoptText json;
    program::PoptText html;
    int onlyCoralhoist = 0;
    const poptOption options[] = {
        {"seed", 's', POPT_ARG_INT, &flags.seed, 0, "seed of the first run", "NUMBER"},
        {"repeats", 'n', POPT_ARG_INT, &flags.repeats, 0, "runs of each system, a seed for each",
         "NUMBER"},
        {"json", 0, POPT_ARG_STRING, &json.text, 0, "write all results as JSON", "FILE"},
        {"html", 0, POPT_ARG_STRING, &html.text, 0, "write a report with plots", "FILE"},
        {"no-baselines", 0, POPT_ARG_NONE, &onlyCoralhoist, 0, "run coralhoist alone", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext(
        "coralhoist-lab run", argumentCount, const_cast<const char**>(arguments), options, 0));
    poptSetOtherOptionHelp(context.get(), "SCENARIO.toml [FLAGS]");
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        return {ErrorCode::InvalidArgument,
                std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                    poptStrerror(result)};
    }
    const char* scenario = poptGetArg(context.get());
    if (scenario == nullptr || poptGetArg(context.get()) != nullptr) {
        return {ErrorCode::InvalidArgument, "give one scenario file (see lab/scenarios)"};
    }
    if (flags.seed < 0 || flags.repeats < 1 || flags.repeats > kMostRepeats) {
        return {ErrorCode::InvalidArgument, "--seed or --repeats is out of range (0 and up; 1 to " +
                                                std::to_string(kMostRepeats) + ")"};
    }
    flags.scenarioFile = scenario;
    flags.jsonFile = json.valueOr("");
    flags.htmlFile = html.valueOr("");
    flags.onlyCoralhoist = onlyCoralhoist != 0;
    return Status::ok();
}

std::string commandOf(const RunFlags& flags) {
    return "coralhoist-lab run " + flags.scenarioFile + " --seed " + std::to_string(flags.seed) +
           " --repeats " + std::to_string(flags.repeats) +
           (flags.onlyCoralhoist ? " --no-baselines" : "");
}

Status writeFile(const std::string& path, const QByteArray& content) {
    if (path.empty()) {
        return Status::ok();
    }
    QSaveFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size() ||
        !file.commit()) {
        return {ErrorCode::Unavailable, path + ": " + file.errorString().toStdString()};
    }
    return Status::ok();
}

int fail(const Status& status) {
    std::fprintf(stderr, "coralhoist-lab run: %s\n", status.message().c_str());
    return kBadInput;
}

bool keepsPromises(const ExperimentResult& result) {
    const std::vector<RunResult>& runs = result.systems.front().runs;
    return std::ranges::all_of(runs, [](const RunResult& run) {
        return run.staleOwnReads + run.lostWrites + run.doubledWrites + run.unanswered == 0;
    });
}

}  // namespace

int runRunCommand(int argumentCount, char** arguments) {
    RunFlags flags;
    if (const Status status = parseFlags(argumentCount, arguments, flags); !status.isOk()) {
        return fail(status);
    }
    const StatusWith<Scenario> scenario = readScenario(flags.scenarioFile);
    if (!scenario.isOk()) {
        return fail(scenario.status());
    }
    std::vector<SystemKind> systems(std::begin(kAllSystems), std::end(kAllSystems));
    if (flags.onlyCoralhoist) {
        systems = {SystemKind::Coralhoist};
    }
    ExperimentResult result =
        runExperiment(scenario.value(), systems, static_cast<std::uint64_t>(flags.seed),
                      static_cast<std::size_t>(flags.repeats));
    result.command = commandOf(flags);
    std::fputs(toText(result).c_str(), stdout);
    if (const Status status = writeFile(flags.jsonFile, toJson(result)); !status.isOk()) {
        return fail(status);
    }
    const QByteArray html = QByteArray::fromStdString(toHtml(result));
    if (const Status status = writeFile(flags.htmlFile, html); !status.isOk()) {
        return fail(status);
    }
    if (!keepsPromises(result)) {
        std::fprintf(stderr, "coralhoist-lab run: coralhoist broke a promise, see the table\n");
        return kBrokenPromise;
    }
    return 0;
}

}  // namespace coralhoist::experiment
