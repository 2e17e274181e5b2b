/** Seeded runs in which primaries must be moved, alone and beside each other fault. */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <iostream>

#include "PlanRunner.h"
#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {
namespace {

using std::chrono::milliseconds;

/** Runs of each plan in one test run; CORALHOIST_SIMULATION_ROUNDS overrides it. */
constexpr std::uint64_t kDefaultRounds = 2;
constexpr std::size_t kGapSeeds = 40;

PooledRunOptions withEras(PooledRunOptions options) {
    options.showsEras = true;
    return options;
}

std::uint64_t rounds() {
    return numberFromEnvironment("CORALHOIST_SIMULATION_ROUNDS", kDefaultRounds);
}

/** @return the median of the longest times without an acknowledged commit under the fault. */
Duration medianWriteGap(PooledFault fault) {
    std::vector<PooledRunOptions> runs(kGapSeeds);
    for (std::size_t run = 0; run < runs.size(); ++run) {
        runs[run].seed = run + 1;
        runs[run].faults = {fault};
    }
    std::vector<Duration> gaps;
    for (const PooledReport& report : runAll(runs)) {
        CHECK_TRUE(report.promotions > 0);
        gaps.push_back(report.longestWriteGap);
    }
    std::sort(gaps.begin(), gaps.end());
    return gaps[gaps.size() / 2];
}

TEST_GROUP(PooledMisplaced){};

TEST(PooledMisplaced, KeepsThePromisesWhilePrimariesMove) {
    checkPlans(withEras({}), misplacedPlans(), rounds());
}

TEST(PooledMisplaced, KeepsThePromisesWhilePrimariesMoveOnCrowdedServers) {
    checkPlans(withEras(crowdedOptions()), misplacedPlans(), rounds());
}

TEST(PooledMisplaced, WritesWaitLessForAPlannedMoveThanForAFailover) {
    const auto inMilliseconds = [](Duration gap) {
        return std::chrono::duration_cast<milliseconds>(gap).count();
    };
    const Duration planned = medianWriteGap(PooledFault::PrimaryMisplaced);
    const Duration failover = medianWriteGap(PooledFault::PrimaryCrashes);
    std::cout << "median of the longest gap between commits: planned move "
              << inMilliseconds(planned) << " ms, failover " << inMilliseconds(failover) << " ms\n";
    CHECK_TRUE(planned < failover);
}

}  // namespace
}  // namespace coralhoist::pooled
