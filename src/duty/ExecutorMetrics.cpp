#include "duty/ExecutorMetrics.h"

#include <array>
#include <chrono>

namespace coralhoist::duty {
namespace {

using contract::ExecutorStatistics;

/** One field of the statistics with its metric. */
struct FieldMetric {
    const char* name;
    const char* help;
    MetricKind kind;
    std::uint64_t ExecutorStatistics::*field;
};

constexpr MetricKind kCounter = MetricKind::Counter;
constexpr MetricKind kGauge = MetricKind::Gauge;

constexpr std::array kFieldMetrics{
    FieldMetric{"coralhoist_requests_submitted_total", "Batches accepted for execution.", kCounter,
                &ExecutorStatistics::submitted},
    FieldMetric{"coralhoist_requests_completed_total", "Batches that have ended.", kCounter,
                &ExecutorStatistics::completed},
    FieldMetric{"coralhoist_reads_served_by_replica_total", "Reads answered by a replica.",
                kCounter, &ExecutorStatistics::readsServedByReplica},
    FieldMetric{"coralhoist_reads_served_by_primary_total", "Reads answered by the primary.",
                kCounter, &ExecutorStatistics::readsServedByPrimary},
    FieldMetric{"coralhoist_writes_acknowledged_total", "Writes confirmed by a majority.", kCounter,
                &ExecutorStatistics::writesAcknowledged},
    FieldMetric{"coralhoist_requests_shed_total", "Requests given up on while queued.", kCounter,
                &ExecutorStatistics::shed},
    FieldMetric{"coralhoist_requests_refused_not_run_total", "Requests refused as not run.",
                kCounter, &ExecutorStatistics::refusedNotRun},
    FieldMetric{"coralhoist_outcomes_unknown_total", "Requests answered with 08007.", kCounter,
                &ExecutorStatistics::outcomeUnknown},
    FieldMetric{"coralhoist_answers_from_record_total", "Answers from a recorded request key.",
                kCounter, &ExecutorStatistics::answeredFromRecord},
    FieldMetric{"coralhoist_retries_total", "Statements sent again after not running.", kCounter,
                &ExecutorStatistics::retries},
    FieldMetric{"coralhoist_retries_denied_total", "Retries refused by the retry budget.", kCounter,
                &ExecutorStatistics::retriesDenied},
    FieldMetric{"coralhoist_guard_failures_total", "Reads whose server was below the floor.",
                kCounter, &ExecutorStatistics::guardFailures},
    FieldMetric{"coralhoist_status_samples_total", "Status sample rounds.", kCounter,
                &ExecutorStatistics::statusSamples},
    FieldMetric{"coralhoist_backend_connections_opened_total", "Back-end connections opened.",
                kCounter, &ExecutorStatistics::connectionsOpened},
    FieldMetric{"coralhoist_backend_connections_lost_total", "Back-end connections that broke.",
                kCounter, &ExecutorStatistics::connectionsLost},
    FieldMetric{"coralhoist_backend_connects_refused_total", "Connects refused by a server.",
                kCounter, &ExecutorStatistics::connectsRefused},
    FieldMetric{"coralhoist_transactions_timed_out_total", "Transactions ended by a time limit.",
                kCounter, &ExecutorStatistics::transactionsTimedOut},
    FieldMetric{"coralhoist_primary_changes_total", "Changes of the confirmed primary.", kCounter,
                &ExecutorStatistics::primaryChanges},
    FieldMetric{"coralhoist_requests_in_flight", "Requests accepted and not ended.", kGauge,
                &ExecutorStatistics::requestsInFlight},
    FieldMetric{"coralhoist_urgent_queued", "Urgent statements waiting for a slot.", kGauge,
                &ExecutorStatistics::urgentQueued},
    FieldMetric{"coralhoist_ordinary_queued", "Ordinary statements waiting for a slot.", kGauge,
                &ExecutorStatistics::ordinaryQueued},
    FieldMetric{"coralhoist_open_transactions", "Transactions pinned to a connection.", kGauge,
                &ExecutorStatistics::openTransactions},
    FieldMetric{"coralhoist_backend_connections_open", "Open back-end connections.", kGauge,
                &ExecutorStatistics::connectionsOpen},
    FieldMetric{"coralhoist_backend_connections_busy", "Back-end connections in use.", kGauge,
                &ExecutorStatistics::connectionsBusy},
};

}  // namespace

std::vector<MetricSample> executorMetrics(const GroupName& group,
                                          const ExecutorStatistics& statistics) {
    const std::vector<MetricLabel> labels{{"group", group.value()}};
    std::vector<MetricSample> samples;
    samples.reserve(kFieldMetrics.size() + 1);
    for (const FieldMetric& metric : kFieldMetrics) {
        samples.push_back({metric.name, metric.help, metric.kind, labels,
                           static_cast<double>(statistics.*metric.field)});
    }
    const double gapSeconds = std::chrono::duration<double>(statistics.lastFailoverGap).count();
    samples.push_back({"coralhoist_last_failover_gap_seconds",
                       "Time without acknowledged writes around the latest change of primary.",
                       MetricKind::Gauge, labels, gapSeconds});
    return samples;
}

}  // namespace coralhoist::duty
