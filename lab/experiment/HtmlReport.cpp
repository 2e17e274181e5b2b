#include "lab/experiment/HtmlReport.h"

#include <functional>
#include <sstream>

#include "lab/experiment/Metrics.h"
#include "lab/experiment/SvgPlot.h"
#include "lab/experiment/TextReport.h"

namespace coralhoist::experiment {
namespace {

using ValueOf = std::function<std::optional<double>(const TimelinePoint&)>;

constexpr const char* kStyle =
    "body{font-family:sans-serif;margin:2em;max-width:64em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;"
    "text-align:right}td:first-child,th:first-child{text-align:left}svg{display:block;margin:1em 0}"
    "code{background:#f4f4f4;padding:.2em}";

std::vector<PlotMark> marksOf(const ExperimentResult& result) {
    std::vector<PlotMark> marks;
    for (const FaultNote& fault : result.faults) {
        marks.push_back({fault.kind + ", group " + std::to_string(fault.group), fault.at,
                         fault.at + fault.duration});
    }
    return marks;
}

Plot makePlot(const ExperimentResult& result, const std::string& title, const std::string& unit,
              const ValueOf& valueOf) {
    Plot plot;
    plot.title = title;
    plot.unit = unit;
    plot.marks = marksOf(result);
    for (const SystemResult& system : result.systems) {
        PlotSeries series;
        series.name = system.system;
        for (const TimelinePoint& point : system.runs.front().timeline) {
            series.values.push_back(valueOf(point));
        }
        plot.series.push_back(std::move(series));
    }
    return plot;
}

void addPlots(std::ostringstream& out, const ExperimentResult& result) {
    for (std::size_t index = 0; index < result.classNames.size(); ++index) {
        Plot plot = makePlot(result, result.classNames[index] + ": 99th percentile of latency",
                             "ms by second of the intended start",
                             [index](const TimelinePoint& point) { return point.p99[index]; });
        plot.logarithmic = true;
        out << toSvg(plot);
    }
    out << toSvg(makePlot(result, "Reads served by replicas", "%", [](const TimelinePoint& point) {
        return point.replicaShare ? std::optional(100 * *point.replicaShare) : std::nullopt;
    }));
    out << toSvg(makePlot(result, "Urgent requests waiting in proxies", "mean of the second",
                          [](const TimelinePoint& point) { return point.urgentQueued; }));
    out << toSvg(makePlot(result, "Ordinary requests waiting in proxies", "mean of the second",
                          [](const TimelinePoint& point) { return point.ordinaryQueued; }));
    out << toSvg(makePlot(result, "Connections open at all servers", "mean of the second",
                          [](const TimelinePoint& point) { return point.connections; }));
}

void addTable(std::ostringstream& out, const ExperimentResult& result) {
    out << "<table><tr><th></th>";
    for (const SystemResult& system : result.systems) {
        out << "<th>" << escapeMarkup(system.system) << "</th>";
    }
    out << "</tr>\n";
    for (const Metric& metric : metricsOf(result.systems.front().runs.front())) {
        out << "<tr><td>" << escapeMarkup(metric.name) << "</td>";
        for (const SystemResult& system : result.systems) {
            const MetricSummary summary = summarize(system, metric.name);
            out << "<td>" << formatFigure(summary.mean);
            if (summary.runs > 1) {
                out << " &plusmn; " << formatFigure(summary.standardDeviation);
            }
            out << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

}  // namespace

std::string toHtml(const ExperimentResult& result) {
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>"
        << escapeMarkup(result.scenario) << "</title><style>" << kStyle << "</style></head><body>\n"
        << "<h1>Experiment: " << escapeMarkup(result.scenario) << "</h1>\n<p>"
        << result.durationSeconds << " s of simulated time, " << result.repeats
        << " run(s) of each system, seeds from " << result.seed << ". Repeat it with <code>"
        << escapeMarkup(result.command) << "</code></p>\n<ul>\n";
    for (const SystemResult& system : result.systems) {
        out << "<li><b>" << escapeMarkup(system.system)
            << "</b>: " << escapeMarkup(system.description) << "</li>\n";
    }
    out << "</ul>\n";
    addTable(out, result);
    out << "<p>Mean and standard deviation over the runs. The plots show the first run; the time "
           "of "
           "a fault is marked.</p>\n";
    addPlots(out, result);
    out << "</body></html>\n";
    return out.str();
}

}  // namespace coralhoist::experiment
