#include "duty/MetricsBoard.h"

#include <utility>

namespace coralhoist::duty {
namespace {

prometheus::ClientMetric toClientMetric(const MetricSample& sample) {
    prometheus::ClientMetric metric;
    for (const MetricLabel& label : sample.labels) {
        metric.label.push_back({label.name, label.value});
    }
    if (sample.kind == MetricKind::Counter) {
        metric.counter.value = sample.value;
    } else {
        metric.gauge.value = sample.value;
    }
    return metric;
}

prometheus::MetricFamily& familyOf(std::map<std::string, prometheus::MetricFamily>& families,
                                   const MetricSample& sample) {
    prometheus::MetricFamily& family = families[sample.name];
    family.name = sample.name;
    family.help = sample.help;
    family.type = sample.kind == MetricKind::Counter ? prometheus::MetricType::Counter
                                                     : prometheus::MetricType::Gauge;
    return family;
}

}  // namespace

void MetricsBoard::publish(const std::string& source, std::vector<MetricSample> samples) {
    const std::scoped_lock lock(_mutex);
    _samplesBySource[source] = std::move(samples);
}

std::vector<prometheus::MetricFamily> MetricsBoard::Collect() const {
    std::map<std::string, std::vector<MetricSample>> samplesBySource;
    {
        const std::scoped_lock lock(_mutex);
        samplesBySource = _samplesBySource;
    }
    std::map<std::string, prometheus::MetricFamily> families;
    for (const auto& [source, samples] : samplesBySource) {
        for (const MetricSample& sample : samples) {
            familyOf(families, sample).metric.push_back(toClientMetric(sample));
        }
    }
    std::vector<prometheus::MetricFamily> result;
    result.reserve(families.size());
    for (auto& [name, family] : families) {
        result.push_back(std::move(family));
    }
    return result;
}

}  // namespace coralhoist::duty
