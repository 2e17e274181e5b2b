/** Latest metrics of all duties, for the Prometheus endpoint. */
#pragma once

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coralhoist::duty {

/** Whether a metric only grows. */
enum class MetricKind { Counter, Gauge };

/** One label of a sample. */
struct MetricLabel {
    std::string name;
    std::string value;
};

/** One value of one metric. */
struct MetricSample {
    /** Full name, e.g. coralhoist_reads_served_by_replica_total. */
    std::string name;
    std::string help;
    MetricKind kind = MetricKind::Counter;
    std::vector<MetricLabel> labels;
    double value = 0;
};

/**
 * Duties publish whole sets of samples; the exposer's threads collect them. The lock is held for a
 * swap or a copy only, so that a slow scrape never holds up a duty.
 */
class MetricsBoard final : public prometheus::Collectable {
public:
    /**
     * Replaces what a source published before.
     * @param source name of the publishing duty.
     */
    void publish(const std::string& source, std::vector<MetricSample> samples);

    std::vector<prometheus::MetricFamily> Collect() const override;

private:
    mutable std::mutex _mutex;
    std::map<std::string, std::vector<MetricSample>> _samplesBySource;
};

}  // namespace coralhoist::duty
