#include "lab/experiment/JsonReport.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "lab/experiment/Metrics.h"

namespace coralhoist::experiment {
namespace {

QJsonValue number(std::uint64_t value) {
    return static_cast<qint64>(value);
}

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

QJsonValue optionalNumber(const std::optional<double>& value) {
    return value ? QJsonValue(*value) : QJsonValue(QJsonValue::Null);
}

/** A list, because the order of the figures has a meaning. */
QJsonArray metricsArray(const RunResult& run) {
    QJsonArray metrics;
    for (const Metric& metric : metricsOf(run)) {
        const bool higher = metric.preference == Preference::Higher;
        metrics.append(QJsonObject{{"name", text(metric.name)},
                                   {"value", metric.value},
                                   {"better", higher ? "higher" : "lower"}});
    }
    return metrics;
}

QJsonArray classesArray(const RunResult& run) {
    QJsonArray classes;
    for (const ClassResult& entry : run.classes) {
        classes.append(QJsonObject{{"name", text(entry.name)},
                                   {"succeeded", number(entry.succeeded)},
                                   {"gave_up", number(entry.gaveUp)},
                                   {"p50_ms", entry.p50},
                                   {"p99_ms", entry.p99},
                                   {"p999_ms", entry.p999},
                                   {"maximum_ms", entry.maximum}});
    }
    return classes;
}

QJsonArray gapsArray(const RunResult& run) {
    QJsonArray gaps;
    for (const FailoverGap& gap : run.gaps) {
        gaps.append(QJsonObject{{"fault", text(gap.fault)},
                                {"group", number(gap.group)},
                                {"at_s", gap.at},
                                {"gap_ms", gap.milliseconds},
                                {"election_ms", gap.electionMilliseconds}});
    }
    return gaps;
}

QJsonArray timelineArray(const RunResult& run) {
    QJsonArray timeline;
    for (const TimelinePoint& point : run.timeline) {
        QJsonArray latencies;
        for (const std::optional<double>& latency : point.p99) {
            latencies.append(optionalNumber(latency));
        }
        timeline.append(QJsonObject{{"second", point.second},
                                    {"p99_ms", latencies},
                                    {"replica_share", optionalNumber(point.replicaShare)},
                                    {"urgent_queued", point.urgentQueued},
                                    {"ordinary_queued", point.ordinaryQueued},
                                    {"connections", point.connections}});
    }
    return timeline;
}

QJsonObject runObject(const RunResult& run) {
    QJsonObject errors;
    for (const auto& [sqlState, count] : run.errors) {
        errors.insert(text(sqlState), number(count));
    }
    return QJsonObject{{"seed", number(run.seed)},
                       {"metrics", metricsArray(run)},
                       {"classes", classesArray(run)},
                       {"errors", errors},
                       {"failover_gaps", gapsArray(run)},
                       {"replica_share", run.replicaShare},
                       {"own_reads", number(run.ownReads)},
                       {"stale_own_reads", number(run.staleOwnReads)},
                       {"acknowledged_writes", number(run.acknowledgedWrites)},
                       {"lost_writes", number(run.lostWrites)},
                       {"doubled_writes", number(run.doubledWrites)},
                       {"unanswered", number(run.unanswered)},
                       {"timeline", timelineArray(run)}};
}

QJsonArray faultsArray(const ExperimentResult& result) {
    QJsonArray faults;
    for (const FaultNote& fault : result.faults) {
        faults.append(QJsonObject{{"kind", text(fault.kind)},
                                  {"group", number(fault.group)},
                                  {"at_s", fault.at},
                                  {"duration_s", fault.duration}});
    }
    return faults;
}

}  // namespace

QByteArray toJson(const ExperimentResult& result) {
    QJsonArray systems;
    for (const SystemResult& system : result.systems) {
        QJsonArray runs;
        for (const RunResult& run : system.runs) {
            runs.append(runObject(run));
        }
        systems.append(QJsonObject{{"system", text(system.system)},
                                   {"description", text(system.description)},
                                   {"runs", runs}});
    }
    QJsonArray classNames;
    for (const std::string& name : result.classNames) {
        classNames.append(text(name));
    }
    const QJsonObject document{{"scenario", text(result.scenario)},
                               {"command", text(result.command)},
                               {"seed", number(result.seed)},
                               {"repeats", number(result.repeats)},
                               {"duration_s", result.durationSeconds},
                               {"warm_up_s", result.warmUpSeconds},
                               {"primary_load_if_alone", result.primaryLoadIfAlone},
                               {"classes", classNames},
                               {"faults", faultsArray(result)},
                               {"systems", systems}};
    return QJsonDocument(document).toJson(QJsonDocument::Indented);
}

}  // namespace coralhoist::experiment
