#include "lab/experiment/TextReport.h"

#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

#include "lab/experiment/Metrics.h"

namespace coralhoist::experiment {
namespace {

constexpr int kNameWidth = 46;
constexpr int kColumnWidth = 20;
/** Figures from here on are shown without decimals. */
constexpr double kWholeFrom = 100;

void printHead(std::ostringstream& out, const ExperimentResult& result) {
    out << "scenario " << result.scenario << ", " << result.durationSeconds
        << " s of simulated time (" << result.warmUpSeconds << " s warm-up), " << result.repeats
        << " run(s) of each system, seeds from " << result.seed << '\n'
        << "all work on the primaries alone would take " << std::fixed << std::setprecision(0)
        << 100 * result.primaryLoadIfAlone << "% of their slots\n";
    for (const FaultNote& fault : result.faults) {
        out << "fault: " << fault.kind << " of group " << fault.group << " at " << fault.at
            << " s for " << fault.duration << " s\n";
    }
    for (const SystemResult& system : result.systems) {
        out << "  " << system.system << ": " << system.description << '\n';
    }
}

std::string cell(const MetricSummary& summary) {
    std::string text = formatFigure(summary.mean);
    if (summary.runs > 1) {
        text += " (sd " + formatFigure(summary.standardDeviation) + ")";
    }
    return text;
}

void printErrors(std::ostringstream& out, const ExperimentResult& result) {
    for (const SystemResult& system : result.systems) {
        std::map<std::string, std::uint64_t> errors;
        for (const RunResult& run : system.runs) {
            for (const auto& [sqlState, count] : run.errors) {
                errors[sqlState] += count;
            }
        }
        out << "failed attempts of all runs, " << system.system << ':';
        if (errors.empty()) {
            out << " none";
        }
        for (const auto& [sqlState, count] : errors) {
            out << ' ' << sqlState << " x " << count;
        }
        out << '\n';
    }
}

}  // namespace

std::string formatFigure(double value) {
    std::ostringstream out;
    const bool whole = std::abs(value) >= kWholeFrom || value == std::floor(value);
    out << std::fixed << std::setprecision(whole ? 0 : 2) << value;
    return out.str();
}

std::string toText(const ExperimentResult& result) {
    std::ostringstream out;
    printHead(out, result);
    out << '\n' << std::left << std::setw(kNameWidth) << "";
    for (const SystemResult& system : result.systems) {
        out << std::right << std::setw(kColumnWidth) << system.system;
    }
    out << '\n';
    if (!result.systems.empty() && !result.systems.front().runs.empty()) {
        for (const Metric& metric : metricsOf(result.systems.front().runs.front())) {
            out << std::left << std::setw(kNameWidth) << metric.name;
            for (const SystemResult& system : result.systems) {
                out << std::right << std::setw(kColumnWidth)
                    << cell(summarize(system, metric.name));
            }
            out << '\n';
        }
    }
    out << '\n';
    printErrors(out, result);
    out << "again: " << result.command << '\n';
    return out.str();
}

}  // namespace coralhoist::experiment
