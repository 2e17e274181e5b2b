/** Compares two experiments and tells changes from noise. */
#pragma once

#include <QByteArray>
#include <string>
#include <vector>

#include "base/Status.h"
#include "lab/experiment/Metrics.h"

namespace coralhoist::experiment {

/** What became of a figure. */
enum class Change {
    None, /**< Equal. */
    WithinNoise,
    NoiseUnknown, /**< Different, but a single run on one side says nothing about noise. */
    Better,
    Worse,
};

/** One figure of one system in both experiments. */
struct MetricComparison {
    std::string system;
    std::string metric;
    MetricSummary before;
    MetricSummary after;
    Change change = Change::None;
};

/** Judges a difference by Welch's test at the level of 1%. */
Change judge(const MetricSummary& before, const MetricSummary& after, Preference preference);

/**
 * @param before, after JSON reports of the same scenario.
 * @return a comparison for each figure that both have, or InvalidArgument.
 */
StatusWith<std::vector<MetricComparison>> compareReports(const QByteArray& before,
                                                         const QByteArray& after);

/** @return all figures that differ, and how many do not. */
std::string toText(const std::vector<MetricComparison>& comparisons);

}  // namespace coralhoist::experiment
