#include "lab/scale/ScaleCommand.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "lab/scale/ScaleReport.h"
#include "program/PoptContext.h"

namespace coralhoist::scale {
namespace {

constexpr int kBadCommandLine = 2;

/** Values of the flags; popt writes into them. */
struct ScaleFlags {
    int seed = 1;
    int quick = 0;
    int json = 0;
    /** One series by name, or "join"; all when empty. */
    std::string only;
};

/** The sizes that one run goes through. */
struct ScalePlan {
    ScaleOptions options;
    std::vector<std::size_t> nodes;
    std::size_t nodeSeriesGroups = 0;
    std::vector<std::size_t> groups;
    std::vector<std::size_t> services;
    std::vector<double> changesPerDay;
    std::vector<double> restartsPerDay;
    /** Nodes while something else grows. */
    std::size_t otherSeriesNodes = 0;
    std::size_t joinMembers = 0;
    std::size_t joinGroups = 0;
    std::vector<double> fillRates;
    std::size_t placementGroups = 0;
};

/** @return whether the command line is valid; a fault has been printed otherwise. */
bool parseFlags(int argumentCount, char** arguments, ScaleFlags& flags) {
    program::PoptText only;
    const poptOption options[] = {
        {"only", 'o', POPT_ARG_STRING, &only.text, 0,
         "one part: nodes, groups, services, changes, restarts or join", "PART"},
        {"seed", 's', POPT_ARG_INT, &flags.seed, 0, "seed of the whole run", "NUMBER"},
        {"quick", 'q', POPT_ARG_NONE, &flags.quick, 0, "small sizes only", nullptr},
        {"json", 'j', POPT_ARG_NONE, &flags.json, 0, "print JSON instead of tables", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext(
        "coralhoist-lab scale", argumentCount, const_cast<const char**>(arguments), options, 0));
    const int result = poptGetNextOpt(context.get());
    flags.only = only.valueOr(flags.only);
    if (result < -1) {
        std::fprintf(stderr, "coralhoist-lab scale: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(result));
        return false;
    }
    const std::vector<std::string> parts = {"",        "nodes",    "groups", "services",
                                            "changes", "restarts", "join"};
    if (std::find(parts.begin(), parts.end(), flags.only) == parts.end()) {
        std::fprintf(stderr, "coralhoist-lab scale: no part %s\n", flags.only.c_str());
        return false;
    }
    if (poptPeekArg(context.get()) != nullptr || flags.seed < 0) {
        std::fprintf(stderr, "coralhoist-lab scale: unexpected argument or negative seed\n");
        return false;
    }
    return true;
}

ScalePlan planOf(const ScaleFlags& flags) {
    ScalePlan plan;
    plan.options.seed = static_cast<std::uint64_t>(flags.seed);
    if (flags.quick != 0) {
        plan.options.window = std::chrono::seconds(10);
        plan.nodes = {100, 200, 400, 800};
        plan.nodeSeriesGroups = 500;
        plan.groups = {100, 500, 1000, 2000};
        plan.changesPerDay = {21000, 86400, 172800, 345600};
        plan.restartsPerDay = {6100, 43200, 86400, 172800};
        plan.otherSeriesNodes = 200;
        plan.joinMembers = 200;
        plan.joinGroups = 1000;
        plan.fillRates = {3000};
        plan.placementGroups = 500;
        return plan;
    }
    plan.nodes = {500, 1000, 2000, 4000, 7900};
    plan.nodeSeriesGroups = 15000;
    plan.groups = {1000, 4000, 8000, 15000};
    plan.services = {0, 15000, 30000, 45000};
    plan.changesPerDay = {21000, 86400, 172800, 345600};
    plan.restartsPerDay = {6100, 21600, 43200, 86400};
    plan.otherSeriesNodes = 1000;
    plan.joinMembers = 1129;
    plan.joinGroups = 15000;
    plan.fillRates = {3000, 64000};
    plan.placementGroups = 2143;
    return plan;
}

class ScaleRunner {
public:
    ScaleRunner(const ScalePlan& plan, std::string only, bool printTables)
        : _plan(plan), _only(std::move(only)), _print(printTables) {}

    ScaleReport run(const std::string& command) {
        _report.command = command;
        grow(
            "nodes", _plan.nodes, [](ScaleSize& size, std::size_t value) { size.nodes = value; },
            base(0, _plan.nodeSeriesGroups));
        grow(
            "groups", _plan.groups, [](ScaleSize& size, std::size_t value) { size.groups = value; },
            base(_plan.otherSeriesNodes, 0));
        grow(
            "services", _plan.services,
            [](ScaleSize& size, std::size_t value) { size.services = value; },
            base(_plan.otherSeriesNodes, 1000));
        grow(
            "changes", _plan.changesPerDay,
            [](ScaleSize& size, double value) { size.changesPerDay = value; },
            base(_plan.otherSeriesNodes, 1000));
        grow(
            "restarts", _plan.restartsPerDay,
            [](ScaleSize& size, double value) { size.restartsPerDay = value; },
            base(_plan.otherSeriesNodes, 1000));
        if (wants("join")) {
            join();
            measureTrees();
        }
        return std::move(_report);
    }

private:
    static ScaleSize base(std::size_t nodes, std::size_t groups) {
        ScaleSize size;
        size.nodes = nodes;
        size.groups = groups;
        return size;
    }

    template <typename Value, typename Set>
    void grow(const std::string& axis, const std::vector<Value>& values, Set set, ScaleSize size) {
        if (!wants(axis)) {
            return;
        }
        ScaleSeries series{axis, {}};
        for (const Value value : values) {
            set(size, value);
            series.results.push_back(measureScale(size, _plan.options));
            malloc_trim(0);
        }
        if (series.results.empty()) {
            return;
        }
        if (_print) {
            printSeries(series);
        }
        _report.series.push_back(std::move(series));
    }

    bool wants(const std::string& part) const { return _only.empty() || _only == part; }

    void join() {
        for (const double rate : _plan.fillRates) {
            _report.joins.push_back(
                measureJoin(_plan.joinMembers, _plan.joinGroups, rate, _plan.options.seed));
            if (_print) {
                printJoin(_report.joins.back());
            }
        }
        _report.placements.push_back(measurePlacement(_plan.joinMembers, _plan.placementGroups));
        if (_print) {
            printPlacement(_report.placements.back());
        }
    }

    void measureTrees() {
        for (const std::size_t groups : _plan.groups) {
            _report.trees.push_back(measureTree(groups));
            if (_print) {
                printTree(_report.trees.back());
            }
        }
    }

    ScalePlan _plan;
    std::string _only;
    bool _print;
    ScaleReport _report;
};

}  // namespace

int runScaleCommand(int argumentCount, char** arguments) {
    ScaleFlags flags;
    if (!parseFlags(argumentCount, arguments, flags)) {
        return kBadCommandLine;
    }
    const std::string command = "coralhoist-lab scale --seed " + std::to_string(flags.seed) +
                                (flags.quick != 0 ? " --quick" : "") +
                                (flags.only.empty() ? "" : " --only " + flags.only);
    if (flags.json == 0) {
        std::printf("repeat with: %s\n", command.c_str());
    }
    const ScaleReport report = ScaleRunner(planOf(flags), flags.only, flags.json == 0).run(command);
    if (flags.json != 0) {
        std::printf("%s", toJson(report).c_str());
    }
    return 0;
}

}  // namespace coralhoist::scale
