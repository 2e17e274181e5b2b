#include "lab/experiment/Comparison.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "base/Error.h"
#include "lab/experiment/TextReport.h"

namespace coralhoist::experiment {
namespace {

/** Probability with which noise alone is taken for a change. */
constexpr double kSignificance = 0.01;
constexpr int kSystemWidth = 12;
constexpr int kNameWidth = 46;
constexpr int kFigureWidth = 20;

/** Runs of one figure of one system. */
struct Figure {
    std::string system;
    std::string metric;
    Preference preference = Preference::Lower;
    std::vector<double> values;
};

Figure& figureOf(std::vector<Figure>& figures, const std::string& system,
                 const QJsonObject& metric) {
    const std::string name = metric["name"].toString().toStdString();
    for (Figure& figure : figures) {
        if (figure.system == system && figure.metric == name) {
            return figure;
        }
    }
    const bool higher = metric["better"].toString() == "higher";
    figures.push_back({system, name, higher ? Preference::Higher : Preference::Lower, {}});
    return figures.back();
}

std::vector<Figure> readFigures(const QJsonObject& document) {
    std::vector<Figure> figures;
    for (const auto& systemValue : document["systems"].toArray()) {
        const QJsonObject system = systemValue.toObject();
        const std::string name = system["system"].toString().toStdString();
        for (const auto& run : system["runs"].toArray()) {
            for (const auto& metricValue : run.toObject()["metrics"].toArray()) {
                const QJsonObject metric = metricValue.toObject();
                figureOf(figures, name, metric).values.push_back(metric["value"].toDouble());
            }
        }
    }
    return figures;
}

const char* describe(Change change) {
    switch (change) {
        case Change::None:
            return "equal";
        case Change::WithinNoise:
            return "within noise";
        case Change::NoiseUnknown:
            return "changed, noise unknown (repeat the runs)";
        case Change::Better:
            return "BETTER";
        case Change::Worse:
            return "WORSE";
    }
    return "";
}

std::string figureText(const MetricSummary& summary) {
    return formatFigure(summary.mean) + " (sd " + formatFigure(summary.standardDeviation) + ")";
}

}  // namespace

Change judge(const MetricSummary& before, const MetricSummary& after, Preference preference) {
    const double difference = after.mean - before.mean;
    if (difference == 0) {
        return Change::None;
    }
    if (before.runs < 2 || after.runs < 2) {
        return Change::NoiseUnknown;
    }
    const bool better = (difference > 0) == (preference == Preference::Higher);
    const auto partOf = [](const MetricSummary& summary) {
        return summary.standardDeviation * summary.standardDeviation /
               static_cast<double>(summary.runs);
    };
    const double variance = partOf(before) + partOf(after);
    if (variance > 0) {
        const auto weight = [&partOf](const MetricSummary& summary) {
            return partOf(summary) * partOf(summary) / static_cast<double>(summary.runs - 1);
        };
        const double freedom = variance * variance / (weight(before) + weight(after));
        const boost::math::students_t distribution(freedom);
        const double limit = boost::math::quantile(distribution, 1 - kSignificance / 2);
        if (std::abs(difference) <= limit * std::sqrt(variance)) {
            return Change::WithinNoise;
        }
    }
    return better ? Change::Better : Change::Worse;
}

StatusWith<std::vector<MetricComparison>> compareReports(const QByteArray& before,
                                                         const QByteArray& after) {
    const QJsonObject first = QJsonDocument::fromJson(before).object();
    const QJsonObject second = QJsonDocument::fromJson(after).object();
    if (!first.contains("systems") || !second.contains("systems")) {
        return Status(ErrorCode::InvalidArgument, "not a report of coralhoist-lab run");
    }
    if (first["scenario"] != second["scenario"] || first["faults"] != second["faults"]) {
        return Status(ErrorCode::InvalidArgument, "the reports are of different scenarios");
    }
    std::vector<MetricComparison> comparisons;
    const std::vector<Figure> figures = readFigures(second);
    for (const Figure& figure : readFigures(first)) {
        for (const Figure& other : figures) {
            if (other.system != figure.system || other.metric != figure.metric) {
                continue;
            }
            MetricComparison comparison{figure.system, figure.metric, summarize(figure.values),
                                        summarize(other.values), Change::None};
            comparison.change = judge(comparison.before, comparison.after, figure.preference);
            comparisons.push_back(std::move(comparison));
        }
    }
    return comparisons;
}

std::string toText(const std::vector<MetricComparison>& comparisons) {
    std::ostringstream out;
    out << std::left;
    std::size_t equal = 0;
    for (const MetricComparison& entry : comparisons) {
        if (entry.change == Change::None) {
            ++equal;
            continue;
        }
        out << std::setw(kSystemWidth) << entry.system << std::setw(kNameWidth) << entry.metric
            << std::setw(kFigureWidth) << figureText(entry.before) << " -> "
            << std::setw(kFigureWidth) << figureText(entry.after) << ' ' << describe(entry.change)
            << '\n';
    }
    out << equal << " of " << comparisons.size() << " figures are equal\n";
    return out.str();
}

}  // namespace coralhoist::experiment
