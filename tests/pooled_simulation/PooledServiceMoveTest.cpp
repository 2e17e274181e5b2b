/** Seeded runs in which services move between two groups and back, beside other faults. */
#include <CppUTest/TestHarness.h>

#include "PlanRunner.h"
#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {
namespace {

/** Runs of each plan in one test run; CORALHOIST_SERVICE_MOVE_ROUNDS overrides it. */
constexpr std::uint64_t kDefaultRounds = 2;

std::uint64_t rounds() {
    return numberFromEnvironment("CORALHOIST_SERVICE_MOVE_ROUNDS", kDefaultRounds);
}

PooledRunOptions twoGroups() {
    PooledRunOptions options;
    options.twoGroups = true;
    return options;
}

TEST_GROUP(PooledServiceMove){};

TEST(PooledServiceMove, ServicesMoveAndAreServed) {
    PooledRunOptions options = twoGroups();
    options.faults = {PooledFault::ServicesMove};
    const PooledReport report = runPooled(options);
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    CHECK(report.faults.serviceMoves > 1);
    CHECK(report.acknowledged > 1000);
}

/** Guards against a session that forgets its commits in a group when its service moves away. */
TEST(PooledServiceMove, KeepsThePromisesBesideEachFault) {
    checkPlans(twoGroups(), serviceMovePlans(), rounds());
}

/** The same while most statements are executed by other nodes. */
TEST(PooledServiceMove, KeepsThePromisesWhileNodesForward) {
    PooledRunOptions options = twoGroups();
    options.nodes = 5;
    options.executors = 2;
    checkPlans(options, serviceMovePlans(), (rounds() + 1) / 2);
}

}  // namespace
}  // namespace coralhoist::pooled
