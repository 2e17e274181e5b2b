/** The figures of a run by name, as tables, reports and comparisons show them. */
#pragma once

#include <string>
#include <vector>

#include "lab/experiment/RunResult.h"

namespace coralhoist::experiment {

/** Which way a figure should go. */
enum class Preference { Lower, Higher };

/** One figure of one run. */
struct Metric {
    std::string name;
    double value = 0;
    Preference preference = Preference::Lower;
};

/** @return all figures of a run in the order of the summary; the same names for all systems. */
std::vector<Metric> metricsOf(const RunResult& run);

/** Mean and spread of one figure over the runs of a system. */
struct MetricSummary {
    std::size_t runs = 0;
    double mean = 0;
    /** Of the single run, not of the mean; 0 for one run. */
    double standardDeviation = 0;
};

MetricSummary summarize(const std::vector<double>& values);

/** @return the summary of a figure of a system; no runs when it is not known. */
MetricSummary summarize(const SystemResult& system, const std::string& metric);

}  // namespace coralhoist::experiment
