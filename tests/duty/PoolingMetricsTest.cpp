#include <CppUTest/TestHarness.h>

#include "duty/pooling/PoolingMetrics.h"

namespace coralhoist::duty {
namespace {

bool contains(const std::string& page, const char* line) {
    return page.find(line) != std::string::npos;
}

TEST_GROUP(PoolingMetrics){};

TEST(PoolingMetrics, ShowsCountersByFaultAndCumulativeBuckets) {
    PoolingFigures figures;
    figures.ready = true;
    figures.settingsAge = std::chrono::milliseconds(1250);
    figures.waitingByRank[2] = 5;
    figures.pooler.statements = 7;
    figures.pooler.failedByFault[static_cast<std::size_t>(pooling::StatementFault::InDoubt)] = 3;
    figures.pooler.latency.add(std::chrono::milliseconds(3));
    figures.pooler.latency.add(std::chrono::milliseconds(30));
    figures.pooler.latency.add(std::chrono::seconds(9));
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(contains(page, "coralhoist_ready 1\n"));
    CHECK_TRUE(contains(page, "coralhoist_settings_age_seconds 1.25\n"));
    CHECK_TRUE(contains(page, "coralhoist_statements_total 7\n"));
    CHECK_TRUE(contains(page, "coralhoist_waiting{rank=\"2\"} 5\n"));
    CHECK_TRUE(contains(page, "coralhoist_requests_failed_total{fault=\"in_doubt\"} 3\n"));
    CHECK_TRUE(contains(page, "duration_seconds_bucket{le=\"0.002\"} 0\n"));
    CHECK_TRUE(contains(page, "duration_seconds_bucket{le=\"0.005\"} 1\n"));
    CHECK_TRUE(contains(page, "duration_seconds_bucket{le=\"0.05\"} 2\n"));
    CHECK_TRUE(contains(page, "duration_seconds_bucket{le=\"+Inf\"} 3\n"));
    CHECK_TRUE(contains(page, "duration_seconds_count 3\n"));
}

TEST(PoolingMetrics, ShowsSharesOfCrowdedGroups) {
    PoolingFigures figures;
    figures.pooler.groupsSharing = 2;
    figures.pooler.loadReportsSent = 70;
    figures.pooler.loadReportsReceived = 63;
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(contains(page, "coralhoist_groups_sharing 2\n"));
    CHECK_TRUE(contains(page, "coralhoist_load_reports_told_total 70\n"));
    CHECK_TRUE(contains(page, "coralhoist_load_reports_taken_total 63\n"));
}

TEST(PoolingMetrics, ShowsHomesOnlyWhereSettingsNameSome) {
    PoolingFigures figures;
    CHECK_FALSE(contains(renderMetrics(figures), "coralhoist_home_"));
    figures.homes = placement::HomeStatistics{};
    figures.homes->groupsLedOutside = 4;
    figures.homes->nodesRuledOut = 17;
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(contains(page, "coralhoist_home_groups_led_outside 4\n"));
    CHECK_TRUE(contains(page, "coralhoist_home_nodes_ruled_out_total 17\n"));
}

TEST(PoolingMetrics, ShowsWhatPassesBetweenRegionsWhereThereAreSeveral) {
    PoolingFigures figures;
    CHECK_FALSE(contains(renderMetrics(figures), "region"));
    const locality::RegionMap regions{
        {{ZoneName("z"), RegionName("north")}, {ZoneName("y"), RegionName("south")}}};
    figures.regions.emplace(RegionFigures{{regions, ZoneName("z")}, {regions, ZoneName("z")}, 4});
    figures.regions->traffic.add(locality::TrafficPurpose::Feeds, locality::TrafficDirection::Sent,
                                 12);
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(
        contains(page, "coralhoist_region_bytes_total{purpose=\"feeds\",direction=\"sent\"} 12\n"));
    CHECK_TRUE(contains(page, "coralhoist_region_reports_kept_back_total 4\n"));
    CHECK_TRUE(contains(page, "coralhoist_reads_in_other_regions_total 0\n"));
}

TEST(PoolingMetrics, ShowsEvacuationsOnlyWhereTheyAreKept) {
    PoolingFigures figures;
    figures.pooler.refusedByReason["zone_evacuated"] = 4;
    CHECK_FALSE(contains(renderMetrics(figures), "coralhoist_evacuation"));
    figures.evacuations = EvacuationFigures{std::chrono::milliseconds(500), 9, {}};
    figures.evacuations->zones[ZoneName("a")] = {{2, 1, 3}, 7, true};
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(contains(page, "coralhoist_evacuations_age_seconds 0.5\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_statements_elsewhere_total 9\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_closed{zone=\"a\"} 1\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_in_flight{zone=\"a\"} 2\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_transactions{zone=\"a\"} 1\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_primaries{zone=\"a\"} 3\n"));
    CHECK_TRUE(contains(page, "coralhoist_evacuation_statements{zone=\"a\"} 7\n"));
    CHECK_TRUE(contains(
        page, "coralhoist_refused_by_placement_reason_total{reason=\"zone_evacuated\"} 4\n"));
}

TEST(PoolingMetrics, ShowsQuotasByRankWhereARankHasACount) {
    PoolingFigures figures;
    figures.gate.refusedQuotaByRank[2] = 5;
    figures.gate.waitedForTurnByRank[0] = 4;
    figures.gate.turnsKeptByRank[0] = 3;
    figures.quotas.grantedByRank[1] = 9;
    const std::string page = renderMetrics(figures);
    CHECK_TRUE(contains(page, "coralhoist_refused_quota_by_rank_total{rank=\"2\"} 5\n"));
    CHECK_TRUE(contains(page, "coralhoist_quota_turn_waits_total{rank=\"0\"} 4\n"));
    CHECK_TRUE(contains(page, "coralhoist_quota_turns_kept_total{rank=\"0\"} 3\n"));
    CHECK_TRUE(contains(page, "coralhoist_quota_units_granted_total{rank=\"1\"} 9\n"));
    CHECK_FALSE(contains(page, "coralhoist_quota_units_granted_total{rank=\"0\"}"));
}

}  // namespace
}  // namespace coralhoist::duty
