#include "lab/experiment/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cmath>

namespace coralhoist::experiment {
namespace {

using boost::accumulators::accumulator_set;
using boost::accumulators::stats;

double sumOfErrors(const RunResult& run) {
    std::uint64_t total = 0;
    for (const auto& [sqlState, count] : run.errors) {
        total += count;
    }
    return static_cast<double>(total);
}

}  // namespace

std::vector<Metric> metricsOf(const RunResult& run) {
    std::vector<Metric> metrics;
    metrics.push_back({"replica share of reads, %", 100 * run.replicaShare, Preference::Higher});
    for (std::size_t index = 0; index < run.gaps.size(); ++index) {
        const FailoverGap& gap = run.gaps[index];
        const std::string fault = gap.fault + " " + std::to_string(index + 1);
        metrics.push_back({"failover gap, ms: " + fault, gap.milliseconds});
        metrics.push_back({"  of it after the election, ms: " + fault,
                           gap.milliseconds - gap.electionMilliseconds});
    }
    for (const ClassResult& entry : run.classes) {
        metrics.push_back({entry.name + ": p50, ms", entry.p50});
        metrics.push_back({entry.name + ": p99, ms", entry.p99});
        metrics.push_back({entry.name + ": p99.9, ms", entry.p999});
        metrics.push_back({entry.name + ": given up", static_cast<double>(entry.gaveUp)});
    }
    metrics.push_back({"failed attempts", sumOfErrors(run)});
    metrics.push_back({"stale own reads", static_cast<double>(run.staleOwnReads)});
    metrics.push_back({"lost acknowledged writes", static_cast<double>(run.lostWrites)});
    metrics.push_back({"doubled writes", static_cast<double>(run.doubledWrites)});
    metrics.push_back({"requests never answered", static_cast<double>(run.unanswered)});
    return metrics;
}

MetricSummary summarize(const std::vector<double>& values) {
    accumulator_set<double,
                    stats<boost::accumulators::tag::mean, boost::accumulators::tag::variance>>
        accumulator;
    for (const double value : values) {
        accumulator(value);
    }
    MetricSummary summary;
    summary.runs = values.size();
    if (!values.empty()) {
        summary.mean = boost::accumulators::mean(accumulator);
    }
    if (values.size() > 1) {
        const auto count = static_cast<double>(values.size());
        const double variance = boost::accumulators::variance(accumulator) * count / (count - 1);
        summary.standardDeviation = std::sqrt(std::max(0.0, variance));
    }
    return summary;
}

MetricSummary summarize(const SystemResult& system, const std::string& metric) {
    std::vector<double> values;
    for (const RunResult& run : system.runs) {
        for (const Metric& entry : metricsOf(run)) {
            if (entry.name == metric) {
                values.push_back(entry.value);
            }
        }
    }
    return summarize(values);
}

}  // namespace coralhoist::experiment
