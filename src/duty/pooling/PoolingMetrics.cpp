#include "duty/pooling/PoolingMetrics.h"

#include <array>
#include <sstream>
#include <string>

#include "pooling/Statement.h"

namespace coralhoist::duty {
namespace {

using pooling::LatencyHistogram;
using pooling::PoolerStatistics;

constexpr double kMillisecondsPerSecond = 1000.0;

class Page {
public:
    template <typename Value>
    void metric(const char* type, const char* name, const char* help, Value value) {
        head(type, name, help);
        _text << "coralhoist_" << name << ' ' << value << '\n';
    }

    void head(const char* type, const char* name, const char* help) {
        _text << "# HELP coralhoist_" << name << ' ' << help << "\n# TYPE coralhoist_" << name
              << ' ' << type << '\n';
    }

    std::ostringstream& text() { return _text; }

private:
    std::ostringstream _text;
};

void appendFaults(Page& page, const PoolerStatistics& statistics) {
    page.head("counter", "requests_failed_total", "Requests that ended with an error, by fault.");
    for (std::size_t index = 0; index < statistics.failedByFault.size(); ++index) {
        const auto fault = static_cast<pooling::StatementFault>(index);
        page.text() << "coralhoist_requests_failed_total{fault=\"" << pooling::describe(fault)
                    << "\"} " << statistics.failedByFault[index] << '\n';
    }
}

void appendWaiting(Page& page, const PoolingFigures& figures) {
    page.head("gauge", "waiting", "Statements that wait here for a server, by rank.");
    for (std::size_t rank = 0; rank < figures.waitingByRank.size(); ++rank) {
        page.text() << "coralhoist_waiting{rank=\"" << rank << "\"} " << figures.waitingByRank[rank]
                    << '\n';
    }
}

void appendHomes(Page& page, const placement::HomeStatistics& homes) {
    page.metric("gauge", "home_bound_services", "Services whose statements have home regions.",
                homes.services);
    page.metric("gauge", "home_bound_tenants", "Tenants whose statements have home regions.",
                homes.tenants);
    page.metric("gauge", "home_disputed_groups",
                "Groups whose services have home regions, but none in common.",
                homes.groupsInDispute);
    page.metric("gauge", "home_groups_led_outside",
                "Groups whose primary stands outside the home regions of their services.",
                homes.groupsLedOutside);
    page.metric("counter", "home_servers_ruled_out_total",
                "Times that a statement was kept from a server outside its home regions.",
                homes.serversRuledOut);
    page.metric("counter", "home_nodes_ruled_out_total",
                "Times that a statement was kept from a node outside its home regions.",
                homes.nodesRuledOut);
}

/** A counter with a value for each reason that has one. */
void appendByReason(Page& page, const char* name, const char* help,
                    const std::map<std::string, std::uint64_t>& counters) {
    page.head("counter", name, help);
    for (const auto& [reason, count] : counters) {
        page.text() << "coralhoist_" << name << "{reason=\"" << reason << "\"} " << count << '\n';
    }
}

/** One gauge with a value for each evacuated zone. */
template <typename Value>
void appendByZone(Page& page, const char* name, const char* help, const EvacuationFigures& figures,
                  Value value) {
    page.head("gauge", name, help);
    for (const auto& [zone, gauge] : figures.zones) {
        page.text() << "coralhoist_" << name << "{zone=\"" << zone << "\"} " << value(gauge)
                    << '\n';
    }
}

void appendEvacuations(Page& page, const EvacuationFigures& figures) {
    using placement::EvacuationGauge;
    page.metric("gauge", "evacuations_age_seconds",
                "Time for which the evacuations are not proven to be complete.",
                std::chrono::duration<double>(figures.age).count());
    page.metric("counter", "evacuation_statements_elsewhere_total",
                "Statements sent to other zones, of groups with servers in evacuated ones.",
                figures.sentElsewhere);
    appendByZone(page, "evacuation_closed", "1 when nothing is sent to the zone any more.", figures,
                 [](const EvacuationGauge& gauge) { return gauge.closed ? 1 : 0; });
    appendByZone(page, "evacuation_in_flight",
                 "Statements of this proxy in the evacuated zone without an answer.", figures,
                 [](const EvacuationGauge& gauge) { return gauge.load.inFlight; });
    appendByZone(page, "evacuation_transactions",
                 "Transactions of this proxy that are open in the evacuated zone.", figures,
                 [](const EvacuationGauge& gauge) { return gauge.load.transactions; });
    appendByZone(page, "evacuation_primaries", "Groups whose primary stands in the evacuated zone.",
                 figures, [](const EvacuationGauge& gauge) { return gauge.load.primaries; });
    appendByZone(page, "evacuation_statements",
                 "Statements sent to the zone since its evacuation began.", figures,
                 [](const EvacuationGauge& gauge) { return gauge.sent; });
}

void appendGroupWork(Page& page, const PoolingFigures& figures) {
    page.metric("gauge", "active_groups", "Groups that every round of the pooler looks at.",
                figures.groupWork.activeGroups);
    page.metric("counter", "groups_visited_total", "Looks of the pooler at a group.",
                figures.pooler.groupsVisited);
    page.metric("gauge", "active_failovers", "Groups whose failover is not at rest.",
                figures.groupWork.activeFailovers);
    page.metric("counter", "failovers_visited_total", "Looks at the failover of a group.",
                figures.groupWork.failoversVisited);
}

void appendShares(Page& page, const PoolerStatistics& statistics) {
    page.metric("gauge", "groups_sharing",
                "Crowded groups whose executors keep to their shares of the servers.",
                statistics.groupsSharing);
    page.metric("counter", "load_reports_told_total", "Reports of load told to other executors.",
                statistics.loadReportsSent);
    page.metric("counter", "load_reports_taken_total", "Reports of load taken from them.",
                statistics.loadReportsReceived);
}

void appendGroups(Page& page, const PoolingFigures& figures) {
    appendShares(page, figures.pooler);
    appendGroupWork(page, figures);
}

/** A counter with a value for each rank that has one. */
void appendByRank(Page& page, const std::string& name, const char* help,
                  const tenancy::CountersByRank& counters) {
    page.head("counter", name.c_str(), help);
    for (std::size_t rank = 0; rank < counters.size(); ++rank) {
        if (counters[rank] > 0) {
            page.text() << "coralhoist_" << name << "{rank=\"" << rank << "\"} " << counters[rank]
                        << '\n';
        }
    }
}

void appendWarmup(Page& page, const placement::WarmupStatistics& warmup, std::size_t coldServers) {
    page.metric("gauge", "cold_servers", "Servers that are cold after their start.", coldServers);
    page.metric("counter", "cold_server_statements_total",
                "Statements and beginnings of transactions sent to cold servers.", warmup.sent);
    page.metric("counter", "cold_server_deferred_total",
                "Times that no unit of a cold server's rate was at hand.", warmup.deferred);
    page.metric("counter", "cold_server_turned_away_total",
                "Times that a cold server was left out because others can do the work.",
                warmup.turnedAway);
    page.metric("counter", "cold_server_without_unit_total",
                "Statements sent to a cold server without a unit of its rate.", warmup.withoutUnit);
}

void appendGate(Page& page, const tenancy::GateStatistics& gate) {
    page.metric("counter", "refused_credential_total",
                "Requests refused for want of a valid credential.", gate.refusedCredential);
    page.metric("counter", "refused_quota_total", "Requests beyond their tenant's quota.",
                gate.refusedQuota);
    page.metric("counter", "refused_old_settings_total",
                "Requests refused because the settings could not be confirmed.",
                gate.refusedOldSettings);
    page.metric("counter", "quota_waits_total", "Times that a request waited for its quota.",
                gate.waitedForQuota);
    appendByRank(page, "refused_quota_by_rank_total",
                 "Requests beyond their tenant's quota, by rank.", gate.refusedQuotaByRank);
    appendByRank(page, "quota_turn_waits_total",
                 "Requests that waited for their turn in their tenant's quota, by rank.",
                 gate.waitedForTurnByRank);
    appendByRank(page, "quota_turns_kept_total",
                 "Requests that waited for their turn and got their unit, by rank.",
                 gate.turnsKeptByRank);
}

void appendQuotas(Page& page, const PoolingFigures& figures) {
    const tenancy::QuotaStatistics& quotas = figures.quotas;
    page.metric("gauge", "quota_shards_led", "Shards of tenants whose quotas this node grants.",
                figures.quotaShardsLed);
    page.metric("gauge", "quota_shards_as_deputy",
                "Shards of which this node grants a part beside a leader out of its reach.",
                figures.quotaShardsAsDeputy);
    page.metric("counter", "quota_units_total", "Units of tenants' quotas that ran here.",
                quotas.ran);
    page.metric("counter", "quota_units_unused_total", "Granted units that were not used in time.",
                quotas.unused);
    page.metric("counter", "quota_answers_late_total",
                "Answers whose units could no longer be used.", quotas.lateResponses);
    page.metric("counter", "quota_questions_granted_total",
                "Questions that this node answered as leader.", quotas.granted);
    page.metric("counter", "quota_questions_relayed_total",
                "Questions that this node handed on to a leader or standby.", quotas.relayed);
    page.metric("counter", "quota_questions_declined_total",
                "Questions that this node could not have answered.", quotas.declined);
    appendByRank(page, "quota_units_granted_total",
                 "Units that this node granted as leader, by rank.", quotas.grantedByRank);
    appendByRank(page, "quota_units_put_off_total",
                 "Units that this node put off to a later turn as leader, by rank.",
                 quotas.deferredByRank);
    appendByRank(page, "quota_units_turned_away_total",
                 "Units that this node did not grant as leader and gave no turn, by rank.",
                 quotas.refusedByRank);
    appendByRank(page, "quota_turns_claimed_total",
                 "Units whose turn had come that this node was asked for as leader, by rank.",
                 quotas.turnsByRank);
    appendByRank(page, "quota_turns_granted_total",
                 "Units whose turn had come that this node granted as leader, by rank.",
                 quotas.turnsKeptByRank);
    page.metric("counter", "quota_led_with_copy_total",
                "Shards that this node began to lead as their standby.", quotas.ledWithCopy);
    page.metric("counter", "quota_led_without_copy_total",
                "Shards that this node began to lead without a copy of their ledgers.",
                quotas.ledWithoutCopy);
    page.metric("counter", "quota_deputy_begun_total",
                "Times that this node became the deputy of a shard.", quotas.deputized);
    page.metric("counter", "quota_units_granted_as_deputy_total",
                "Units that this node granted as deputy.", quotas.grantedAsDeputy);
    page.metric("counter", "quota_standbys_lost_total", "Standbys that this node gave up.",
                quotas.standbysLost);
}

void appendRegions(Page& page, const RegionFigures& regions) {
    page.head("counter", "region_bytes_total",
              "Bytes to and from other regions on connections that this node opened, by purpose.");
    for (std::size_t index = 0; index < locality::kTrafficPurposes; ++index) {
        const auto purpose = static_cast<locality::TrafficPurpose>(index);
        page.text() << "coralhoist_region_bytes_total{purpose=\"" << locality::describe(purpose)
                    << "\",direction=\"sent\"} "
                    << regions.traffic.bytes(purpose, locality::TrafficDirection::Sent)
                    << "\ncoralhoist_region_bytes_total{purpose=\"" << locality::describe(purpose)
                    << "\",direction=\"received\"} "
                    << regions.traffic.bytes(purpose, locality::TrafficDirection::Received) << '\n';
    }
    page.metric("counter", "region_reports_kept_back_total",
                "Reports of load that were not sent to other regions.", regions.keptBack);
    page.metric("counter", "reads_in_region_total", "Statements sent to replicas in this region.",
                regions.use.readsHere());
    page.metric("counter", "reads_in_other_regions_total",
                "Statements sent to replicas in other regions.", regions.use.readsElsewhere());
    page.metric("counter", "primary_in_region_total",
                "Statements sent to primaries in this region.", regions.use.primaryHere());
    page.metric("counter", "primary_in_other_regions_total",
                "Statements sent to primaries in other regions.", regions.use.primaryElsewhere());
}

void appendLatency(Page& page, const LatencyHistogram& latency) {
    page.head("histogram", "request_duration_seconds",
              "Time from a request's arrival to its answer.");
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < LatencyHistogram::kBoundsMs.size(); ++bucket) {
        cumulative += latency.counts()[bucket];
        page.text() << "coralhoist_request_duration_seconds_bucket{le=\""
                    << LatencyHistogram::kBoundsMs[bucket] / kMillisecondsPerSecond << "\"} "
                    << cumulative << '\n';
    }
    cumulative += latency.counts().back();
    page.text() << "coralhoist_request_duration_seconds_bucket{le=\"+Inf\"} " << cumulative
                << "\ncoralhoist_request_duration_seconds_sum "
                << std::chrono::duration<double>(latency.sum()).count()
                << "\ncoralhoist_request_duration_seconds_count " << cumulative << '\n';
}

void appendProofs(Page& page, const PoolerStatistics& pooler) {
    page.metric("counter", "leadership_proofs_wanted_total",
                "Times that a statement waited for a proof of leadership.", pooler.proofsWanted);
    page.metric("counter", "commits_held_total",
                "Acknowledged commits held until their primary's leadership was proven.",
                pooler.commitsHeld);
}

}  // namespace

std::string renderMetrics(const PoolingFigures& figures) {
    const PoolerStatistics& pooler = figures.pooler;
    Page page;
    page.metric("gauge", "ready", "Whether this proxy takes callers.", figures.ready ? 1 : 0);
    page.metric("gauge", "store_reachable", "Whether the newest call of each watch was answered.",
                figures.storeReachable ? 1 : 0);
    page.metric("gauge", "store_era", "Era of the store; it rises when the store returns older.",
                figures.storeEra);
    page.metric("counter", "store_returns_total",
                "Returns of the store from an older copy that this proxy has seen.",
                figures.storeReturns);
    page.metric("gauge", "sessions", "Open sessions.", figures.sessions);
    page.metric("gauge", "nodes", "Nodes that share the servers' connections.", figures.nodes);
    page.metric("gauge", "settings_version", "Version of the settings in force.",
                figures.settingsVersion);
    page.metric("gauge", "settings_age_seconds",
                "Time since the call whose answer last proved the settings complete.",
                std::chrono::duration<double>(figures.settingsAge).count());
    if (figures.evacuations) {
        appendEvacuations(page, *figures.evacuations);
    }
    page.metric("counter", "unreadable_entries_total",
                "Versions of entries of the store that named no server or no zone.",
                figures.unreadableEntries);
    page.metric("counter", "promotions_total", "Promotions carried out by this node.",
                figures.promotions);
    page.metric(
        "counter", "planned_moves_total",
        "Promotions by this node that moved a misplaced primary to a server that suits better.",
        figures.plannedMoves);
    page.metric("counter", "statements_total", "Statements of callers.", pooler.statements);
    page.metric("counter", "replica_reads_total", "Statements sent to replicas.",
                pooler.replicaReads);
    page.metric("counter", "primary_statements_total", "Statements sent to primaries.",
                pooler.primaryStatements);
    page.metric("counter", "retries_total", "Statements tried again.", pooler.retries);
    page.metric("counter", "hedges_total", "Reads sent to a second server.", pooler.hedges);
    page.metric("counter", "refused_by_forecast_total",
                "Statements refused because they would not have started in time.",
                pooler.refusedByForecast);
    page.metric("counter", "refused_by_placement_total",
                "Statements refused because no server that may be used for them will be in time.",
                pooler.refusedByPlacement);
    page.metric("counter", "transactions_ended_by_placement_total",
                "Transactions ended because they must not go on where they are open.",
                pooler.transactionsEndedByPlacement);
    appendByReason(page, "refused_by_placement_reason_total", "The refused ones by reason.",
                   pooler.refusedByReason);
    appendByReason(page, "transactions_ended_by_placement_reason_total",
                   "The ended ones by reason.", pooler.endedByReason);
    page.metric("counter", "returns_in_turn_total",
                "Statements asked again after a refusal, queued by their first arrival.",
                pooler.retriesAfterRefusal);
    page.metric("counter", "lagging_total", "Reads that a replica was too far behind for.",
                pooler.lagging);
    page.metric("counter", "waited_for_replica_total",
                "Reads that waited for a replica that would soon have their position.",
                pooler.waitedForReplica);
    page.metric("counter", "servers_ejected_total",
                "Servers left alone for what became of requests there.", pooler.serversEjected);
    page.metric("counter", "servers_admitted_total", "Ejected servers that serve again.",
                pooler.serversAdmitted);
    appendProofs(page, pooler);
    page.metric("counter", "forwarded_total", "Statements that other nodes executed.",
                pooler.forwarded);
    page.metric("counter", "executed_for_others_total", "Statements executed for other nodes.",
                pooler.executedForOthers);
    page.metric("counter", "server_connections_opened_total", "Connections opened to servers.",
                pooler.connectionsOpened);
    page.metric("counter", "server_connections_lost_total", "Connections that servers broke.",
                pooler.connectionsLost);
    page.metric("counter", "server_connections_replaced_total",
                "Idle connections closed for one of another tenant.", pooler.connectionsReplaced);
    if (figures.homes) {
        appendHomes(page, *figures.homes);
    }
    appendWaiting(page, figures);
    appendGroups(page, figures);
    appendGate(page, figures.gate);
    if (figures.warmup) {
        appendWarmup(page, *figures.warmup, figures.coldServers);
    }
    appendQuotas(page, figures);
    if (figures.regions) {
        appendRegions(page, *figures.regions);
    }
    appendFaults(page, pooler);
    appendLatency(page, pooler.latency);
    return std::move(page.text()).str();
}

}  // namespace coralhoist::duty
