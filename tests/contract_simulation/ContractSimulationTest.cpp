/** Seeded simulations of the real executors under single faults and pairs of faults. */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include "lab/contract/ContractRun.h"

namespace coralhoist::simulation {
namespace {

/** Runs of each plan in one test run; CORALHOIST_SIMULATION_ROUNDS overrides the number. */
constexpr std::uint64_t kDefaultRounds = 3;
/** The runs are independent of each other, so a few threads shorten the test. */
constexpr std::size_t kThreads = 4;

/**
 * Upper bound of the median of RunReport::failoverGap. It covers the longest election, the
 * discovery of the new primary and the first responses of that primary.
 */
constexpr Duration kMedianGapLimit = std::chrono::milliseconds(400);

std::uint64_t rounds() {
    const char* text = std::getenv("CORALHOIST_SIMULATION_ROUNDS");
    return text != nullptr ? std::strtoull(text, nullptr, 10) : kDefaultRounds;
}

/** Combines every plan with every round; each combination has its own seed. */
std::vector<RunOptions> allRuns() {
    std::vector<RunOptions> runs;
    for (std::uint64_t round = 0; round < rounds(); ++round) {
        for (const FaultPlan& plan : allFaultPlans()) {
            RunOptions options;
            options.seed = runs.size() + 1;
            options.plan = plan;
            runs.push_back(options);
        }
    }
    return runs;
}

std::vector<RunReport> runAll(const std::vector<RunOptions>& runs) {
    std::vector<RunReport> reports(runs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (std::size_t thread = 0; thread < kThreads; ++thread) {
        threads.emplace_back([&] {
            for (std::size_t run = next++; run < runs.size(); run = next++) {
                reports[run] = runContract(runs[run]);
            }
        });
    }
    threads.clear();
    return reports;
}

TEST_GROUP(ContractSimulation){};

TEST(ContractSimulation, KeepsAllGuaranteesUnderSingleAndPairedFaults) {
    const std::vector<RunOptions> runs = allRuns();
    const std::vector<RunReport> reports = runAll(runs);
    RunReport total;
    for (std::size_t run = 0; run < runs.size(); ++run) {
        const RunReport& report = reports[run];
        total.acknowledgedWrites += report.acknowledgedWrites;
        total.unknownWrites += report.unknownWrites;
        total.reads += report.reads;
        total.readsByReplica += report.readsByReplica;
        total.readsByPrimary += report.readsByPrimary;
        for (const std::string& violation : report.violations) {
            std::cout << "seed " << runs[run].seed << " plan " << run % allFaultPlans().size()
                      << ": " << violation << '\n';
            total.violations.push_back(violation);
        }
    }
    std::cout << runs.size() << " runs, " << total.acknowledgedWrites << " acknowledged and "
              << total.unknownWrites << " unknown writes, " << total.reads << " reads, "
              << total.readsByReplica << " by replicas and " << total.readsByPrimary
              << " by primaries\n";
    CHECK_EQUAL(0, total.violations.size());
    CHECK_TRUE(total.acknowledgedWrites > 0);
}

/** The election takes 200 to 350 ms; the proxies cause the rest of the gap. */
TEST(ContractSimulation, WritesResumeSoonAfterThePrimaryCrashes) {
    std::vector<RunOptions> runs;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        RunOptions options;
        options.seed = seed;
        options.plan = {{Fault::PrimaryCrashes}};
        runs.push_back(options);
    }
    std::vector<Duration> gaps;
    for (const RunReport& report : runAll(runs)) {
        if (report.failoverGap > Duration(0)) {
            gaps.push_back(report.failoverGap);
        }
    }
    std::ranges::sort(gaps);
    const auto toMilliseconds = [](Duration gap) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
    };
    std::cout << gaps.size() << " changes of primary, gap " << toMilliseconds(gaps[gaps.size() / 2])
              << " ms in the median and " << toMilliseconds(gaps.back()) << " ms at most\n";
    CHECK_TRUE(gaps.size() >= 30);
    CHECK_TRUE(gaps[gaps.size() / 2] < kMedianGapLimit);
}

TEST(ContractSimulation, SameSeedGivesTheSameRun) {
    RunOptions options;
    options.seed = 5;
    options.plan = {{Fault::PrimaryIsolated, Fault::AnswersLost}};
    CHECK_EQUAL(runContract(options).events, runContract(options).events);
}

TEST(ContractSimulation, FindsViolationsWhenServersReportFalsePositions) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RunOptions options;
        options.seed = seed;
        options.plan = {{Fault::PrimaryIsolated, Fault::ReplicaLags}};
        options.serversLie = true;
        violations += runContract(options).violations.size();
    }
    CHECK_TRUE(violations > 0);
}

}  // namespace
}  // namespace coralhoist::simulation
