/** Seeded runs on crowded servers with faults of how nodes and servers see each other. */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "PlanRunner.h"
#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {
namespace {

/** Runs of each plan in one test run; CORALHOIST_SERVER_FAULT_ROUNDS overrides it. */
constexpr std::uint64_t kDefaultRounds = 2;
/** Rounds of the few plans with three faults for each round of the others. */
constexpr std::uint64_t kCrowdedPromotionShare = 4;
constexpr std::uint64_t kUnheardShare = 10;
constexpr std::uint64_t kSeeds = 10;
/** A kind that strikes one call in several is looked for in more runs, and more often than once: in
 * ten of them it may strike none by chance. */
constexpr std::uint64_t kManySeeds = 40;
constexpr std::uint64_t kLeastStrikes = 4;

/** @return what a few runs under the faults count. */
std::uint64_t countIn(const std::vector<PooledFault>& faults,
                      const std::function<std::uint64_t(const PooledReport&)>& count,
                      std::uint64_t seeds = kSeeds) {
    std::vector<PooledRunOptions> runs;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        runs.push_back(crowdedOptions());
        runs.back().seed = seed;
        runs.back().faults = faults;
    }
    std::uint64_t sum = 0;
    for (const PooledReport& report : runAll(runs)) {
        sum += count(report);
    }
    return sum;
}

TEST_GROUP(PooledServerFault){};

TEST(PooledServerFault, CalmRunWithFewSlotsServesEverything) {
    const PooledReport report = runPooled(crowdedOptions());
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    UNSIGNED_LONGS_EQUAL(0, report.promotions);
    UNSIGNED_LONGS_EQUAL(0, report.refusedOrders);
    CHECK(report.acknowledged > 1000);
}

TEST(PooledServerFault, OrdersWaitAtCrowdedServersOrAreRefused) {
    const std::vector<PooledFault> faults = {PooledFault::ServersCrowded,
                                             PooledFault::PrimaryCrashes};
    CHECK(countIn(faults, [](const PooledReport& report) { return report.slowOrders; }) > 0);
    CHECK(countIn(faults, [](const PooledReport& report) { return report.refusedOrders; }) > 0);
}

TEST(PooledServerFault, NodesAreCutOffFromServers) {
    CHECK(countIn({PooledFault::NodesCutFromServers},
                  [](const PooledReport& report) { return report.faults.nodeCuts; }) > kSeeds);
}

TEST(PooledServerFault, NodesReachAReplacedPrimaryAndNotItsSuccessor) {
    CHECK(countIn({PooledFault::OldPrimaryLeadsOn},
                  [](const PooledReport& report) { return report.faults.replacedReached; }) > 0);
}

TEST(PooledServerFault, AnnouncementsLapse) {
    CHECK(countIn({PooledFault::AnnouncementsLapse},
                  [](const PooledReport& report) { return report.faults.lapses; }) > kSeeds);
}

TEST(PooledServerFault, AServerUnderANewNameRefusesWhoExpectsTheOldOne) {
    // Nodes that promote ask servers that drain, too.
    const std::vector<PooledFault> faults = {PooledFault::ServerRenamed,
                                             PooledFault::PromotionCallTroubled};
    CHECK(countIn(faults, [](const PooledReport& report) { return report.faults.renames; }) > 0);
    CHECK(countIn(faults, [](const PooledReport& report) { return report.wrongServers; }) > 0);
}

TEST(PooledServerFault, AReplicaLeavesAndAnEmptyOneJoins) {
    CHECK(countIn({PooledFault::ReplicaReplaced},
                  [](const PooledReport& report) { return report.faults.replacements; }) > 0);
}

TEST(PooledServerFault, PromotionCallsAreNotAnsweredOrFindARestartingServer) {
    const std::vector<PooledFault> faults = {PooledFault::PromotionCallTroubled};
    const std::uint64_t unanswered = countIn(
        faults, [](const PooledReport& report) { return report.unansweredCalls; }, kManySeeds);
    CHECK(unanswered >= kLeastStrikes);
    const std::uint64_t restarting = countIn(
        faults, [](const PooledReport& report) { return report.callsToRestarting; }, kManySeeds);
    CHECK(restarting >= kLeastStrikes);
}

TEST(PooledServerFault, PausesAreForgotten) {
    CHECK(countIn({PooledFault::ReplicasRestart, PooledFault::PrimaryCutFromAllNodes},
                  [](const PooledReport& report) { return report.faults.pausesForgotten; }) > 0);
}

TEST(PooledServerFault, TheJudgeReportsWhatAPromotedLogLacks) {
    PooledJudge judge;
    judge.onCommitted({{1, 1}, 1});
    judge.onCommitted({{1, 2}, 2});
    judge.onAcknowledged(1, 1, TimePoint{});
    judge.onAcknowledged(2, 1, TimePoint{});
    judge.onPromoted({1}, TimePoint{});
    UNSIGNED_LONGS_EQUAL(1, judge.violations().size());
    CHECK(judge.violations().front().starts_with("LOST: commit 2 "));
}

TEST(PooledServerFault, KeepsThePromisesUnderSingleFaultsAndPairs) {
    checkPlans(crowdedOptions(), serverFaultPlans(),
               numberFromEnvironment("CORALHOIST_SERVER_FAULT_ROUNDS", kDefaultRounds));
}

/**
 * Guards against commits and reads at a former primary on a node that hears of no promotion, while
 * replicas restart and so forget the order not to receive.
 */
TEST(PooledServerFault, KeepsThePromisesWhenReplicasRestartDuringAPromotionUnheard) {
    PooledRunOptions options;
    options.group.promoteDelay = std::chrono::milliseconds(1000);
    checkPlans(
        options,
        {{PooledFault::PromotionUnheard},
         {PooledFault::PromotionUnheard, PooledFault::NodeDies},
         {PooledFault::PromotionUnheard, PooledFault::ReplicasRestart},
         {PooledFault::PromotionUnheard, PooledFault::PromotionUnheard}},
        numberFromEnvironment("CORALHOIST_SERVER_FAULT_ROUNDS", kDefaultRounds) * kUnheardShare);
}

TEST(PooledServerFault, KeepsThePromisesWhenLateCallsAreNotFenced) {
    PooledRunOptions options = crowdedOptions();
    options.group.checksFence = false;
    std::vector<std::vector<PooledFault>> plans = serverFaultPlans();
    std::erase_if(plans, [](const std::vector<PooledFault>& plan) {
        return std::count(plan.begin(), plan.end(), PooledFault::PromotionCallTroubled) == 0;
    });
    checkPlans(options, plans,
               numberFromEnvironment("CORALHOIST_SERVER_FAULT_ROUNDS", kDefaultRounds));
}

TEST(PooledServerFault, KeepsThePromisesWhenCrowdedServersPromote) {
    checkPlans(crowdedOptions(), crowdedPromotionPlans(),
               numberFromEnvironment("CORALHOIST_SERVER_FAULT_ROUNDS", kDefaultRounds) *
                   kCrowdedPromotionShare);
}

}  // namespace
}  // namespace coralhoist::pooled
