#include "PlanRunner.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace coralhoist::pooled {
namespace {

/** Runs share nothing, so that a few threads shorten the wait; CORALHOIST_SIMULATION_THREADS
 * overrides it. */
constexpr std::size_t kThreads = 6;
constexpr std::size_t kSlots = 3;
constexpr Duration kHeartbeat = std::chrono::milliseconds(500);
constexpr std::size_t kRecoveredAcknowledgements = 300;

std::vector<PooledRunOptions> allRuns(const PooledRunOptions& base,
                                      const std::vector<std::vector<PooledFault>>& plans,
                                      std::uint64_t roundCount) {
    std::vector<PooledRunOptions> runs;
    for (std::uint64_t round = 0; round < roundCount; ++round) {
        for (const std::vector<PooledFault>& plan : plans) {
            PooledRunOptions options = base;
            options.seed = runs.size() + 1;
            options.faults = plan;
            runs.push_back(options);
        }
    }
    return runs;
}

void print(const PooledRunOptions& options, const PooledReport& report, const std::string& what) {
    std::cout << "seed " << options.seed << " faults";
    for (const PooledFault fault : options.faults) {
        std::cout << ' ' << static_cast<int>(fault);
    }
    std::cout << ": " << what << " (" << report.acknowledged << " acknowledged, "
              << report.acknowledgedAfterFaults << " of them after the faults, "
              << report.promotions << " promotions)\n";
}

}  // namespace

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t byDefault) {
    const char* text = std::getenv(name);
    return text != nullptr ? std::strtoull(text, nullptr, 10) : byDefault;
}

PooledRunOptions crowdedOptions() {
    PooledRunOptions options;
    options.group.slots = kSlots;
    options.group.heartbeat = kHeartbeat;
    return options;
}

bool hasRecovered(const PooledReport& report) {
    return report.acknowledgedAfterFaults >= kRecoveredAcknowledgements;
}

std::vector<PooledReport> runAll(const std::vector<PooledRunOptions>& runs) {
    std::vector<PooledReport> reports(runs.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    const std::uint64_t count = numberFromEnvironment("CORALHOIST_SIMULATION_THREADS", kThreads);
    for (std::size_t thread = 0; thread < count; ++thread) {
        threads.emplace_back([&] {
            for (std::size_t run = next++; run < runs.size(); run = next++) {
                reports[run] = runPooled(runs[run]);
            }
        });
    }
    threads.clear();
    return reports;
}

void checkPlans(const PooledRunOptions& base, const std::vector<std::vector<PooledFault>>& plans,
                std::uint64_t roundCount) {
    const std::vector<PooledRunOptions> runs = allRuns(base, plans, roundCount);
    const std::vector<PooledReport> reports = runAll(runs);
    std::size_t broken = 0;
    std::size_t stuck = 0;
    for (std::size_t run = 0; run < runs.size(); ++run) {
        if (!reports[run].violations.empty()) {
            ++broken;
            print(runs[run], reports[run], reports[run].violations.front());
        }
        if (!hasRecovered(reports[run])) {
            ++stuck;
            print(runs[run], reports[run], "did not recover");
        }
    }
    std::cout << runs.size() << " runs, " << broken << " broken, " << stuck << " not recovered\n";
    UNSIGNED_LONGS_EQUAL(0, broken);
    UNSIGNED_LONGS_EQUAL(0, stuck);
}

}  // namespace coralhoist::pooled
