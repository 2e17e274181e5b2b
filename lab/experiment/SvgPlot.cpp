#include "lab/experiment/SvgPlot.h"

#include <QString>
#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "lab/experiment/TextReport.h"

namespace coralhoist::experiment {
namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 280;
constexpr double kLeft = 70;
constexpr double kRight = 150;
constexpr double kTop = 34;
constexpr double kBottom = 40;
constexpr int kLinearTicks = 5;
constexpr double kTimeTick = 5;
/** Least value of a logarithmic axis. */
constexpr double kLogarithmicFloor = 1;
/** Line styles differ as well as colours, so that a print in grey can be read. */
constexpr std::array<const char*, 5> kColours = {"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                                                 "#555555"};
constexpr std::array<const char*, 5> kDashes = {"none", "7 3", "2 3", "9 3 2 3", "1 5"};

/** @return the next number whose first digit is 1, 2 or 5 and whose others are 0. */
double roundUp(double value) {
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double digit : {1.0, 2.0, 5.0}) {
        if (value <= digit * power) {
            return digit * power;
        }
    }
    return 10 * power;
}

/** Draws one plot. */
class SvgDrawing {
public:
    explicit SvgDrawing(const Plot& plot) : _plot(plot) {
        for (const PlotSeries& series : plot.series) {
            _seconds = std::max(_seconds, static_cast<double>(series.values.size()));
            for (const std::optional<double>& value : series.values) {
                _maximum = std::max(_maximum, value.value_or(0));
            }
        }
        if (plot.logarithmic) {
            _maximum = std::pow(10, std::ceil(std::log10(std::max(_maximum, 10.0))));
        } else {
            _maximum = roundUp(_maximum);
        }
    }

    std::string draw() {
        _out << std::fixed << std::setprecision(1);
        _out << "<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight << "\" width=\"" << kWidth
             << "\" height=\"" << kHeight
             << "\" xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" "
                "font-size=\"12\">\n";
        text(kLeft, kTop - 14, "start", _plot.title + ", " + _plot.unit);
        drawMarks();
        drawValueAxis();
        drawTimeAxis();
        for (std::size_t index = 0; index < _plot.series.size(); ++index) {
            drawSeries(index);
        }
        _out << "</svg>\n";
        return _out.str();
    }

private:
    double x(double second) const {
        return kLeft + (kWidth - kLeft - kRight) * second / std::max(_seconds, 1.0);
    }
    double y(double value) const {
        double share = value / _maximum;
        if (_plot.logarithmic) {
            share = std::log10(std::max(value, kLogarithmicFloor)) / std::log10(_maximum);
        }
        return kHeight - kBottom - (kHeight - kTop - kBottom) * share;
    }
    void text(double atX, double atY, const char* anchor, const std::string& content) {
        _out << "<text x=\"" << atX << "\" y=\"" << atY << "\" text-anchor=\"" << anchor << "\">"
             << escapeMarkup(content) << "</text>\n";
    }
    void line(double fromX, double fromY, double toX, double toY, const char* colour) {
        _out << "<line x1=\"" << fromX << "\" y1=\"" << fromY << "\" x2=\"" << toX << "\" y2=\""
             << toY << "\" stroke=\"" << colour << "\"/>\n";
    }
    void drawMarks() {
        for (const PlotMark& mark : _plot.marks) {
            const double end = std::min(std::max(mark.to, mark.from + 0.2), _seconds);
            _out << "<rect x=\"" << x(mark.from) << "\" y=\"" << kTop << "\" width=\""
                 << x(end) - x(mark.from) << "\" height=\"" << kHeight - kTop - kBottom
                 << "\" fill=\"#f3d9d9\"/>\n";
            text(x(mark.from) + 3, kTop + 12, "start", mark.name);
        }
    }
    void drawTick(double value) {
        line(kLeft, y(value), kWidth - kRight, y(value), "#dddddd");
        text(kLeft - 6, y(value) + 4, "end", formatFigure(value));
    }
    void drawValueAxis() {
        if (_plot.logarithmic) {
            for (double value = kLogarithmicFloor; value <= _maximum; value *= 10) {
                drawTick(value);
            }
            return;
        }
        for (int tick = 0; tick <= kLinearTicks; ++tick) {
            drawTick(_maximum * tick / kLinearTicks);
        }
    }
    void drawTimeAxis() {
        const double base = kHeight - kBottom;
        line(kLeft, base, kWidth - kRight, base, "#333333");
        for (double second = 0; second <= _seconds; second += kTimeTick) {
            line(x(second), base, x(second), base + 4, "#333333");
            text(x(second), base + 17, "middle", formatFigure(second));
        }
        text(kWidth - kRight, base + 32, "end", "seconds");
    }
    void drawSeries(std::size_t index) {
        const PlotSeries& series = _plot.series[index];
        const char* colour = kColours[index % kColours.size()];
        const char* dashes = kDashes[index % kDashes.size()];
        std::ostringstream path;
        path << std::fixed << std::setprecision(1);
        bool drawing = false;
        for (std::size_t second = 0; second < series.values.size(); ++second) {
            const std::optional<double>& value = series.values[second];
            if (value) {
                path << (drawing ? " L" : " M") << x(static_cast<double>(second) + 0.5) << ' '
                     << y(*value);
            }
            drawing = value.has_value();
        }
        _out << "<path d=\"" << path.str() << "\" fill=\"none\" stroke=\"" << colour
             << "\" stroke-width=\"1.6\" stroke-dasharray=\"" << dashes << "\"/>\n";
        const double legendY = kTop + 14 + 18 * static_cast<double>(index);
        const double legendX = kWidth - kRight + 12;
        _out << "<path d=\"M" << legendX << ' ' << legendY - 4 << " h26\" stroke=\"" << colour
             << "\" stroke-width=\"1.6\" stroke-dasharray=\"" << dashes << "\"/>\n";
        text(legendX + 32, legendY, "start", series.name);
    }

    const Plot& _plot;
    double _seconds = 0;
    double _maximum = 1;
    std::ostringstream _out;
};

}  // namespace

std::string escapeMarkup(const std::string& text) {
    return QString::fromStdString(text).toHtmlEscaped().toStdString();
}

std::string toSvg(const Plot& plot) {
    return SvgDrawing(plot).draw();
}

}  // namespace coralhoist::experiment
