/** Line plots over time as SVG. */
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace coralhoist::experiment {

/** One line; a missing value leaves a hole. */
struct PlotSeries {
    std::string name;
    std::vector<std::optional<double>> values;
};

/** A span of time that is marked. */
struct PlotMark {
    std::string name;
    double from = 0;
    double to = 0;
};

/** What a plot shows; one value a second. */
struct Plot {
    std::string title;
    std::string unit;
    bool logarithmic = false;
    std::vector<PlotSeries> series;
    std::vector<PlotMark> marks;
};

/** @return text that is safe inside HTML and SVG. */
std::string escapeMarkup(const std::string& text);

/** @return one svg element. */
std::string toSvg(const Plot& plot);

}  // namespace coralhoist::experiment
