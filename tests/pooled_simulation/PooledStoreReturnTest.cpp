/** Seeded runs in which the store returns older, alone and beside each other fault. */
#include <CppUTest/TestHarness.h>

#include "PlanRunner.h"
#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {
namespace {

/** Runs of each plan in one test run; CORALHOIST_SIMULATION_ROUNDS overrides it. */
constexpr std::uint64_t kDefaultRounds = 2;

std::uint64_t rounds() {
    return numberFromEnvironment("CORALHOIST_SIMULATION_ROUNDS", kDefaultRounds);
}

PooledRunOptions withEras(PooledRunOptions options) {
    options.showsEras = true;
    return options;
}

TEST_GROUP(PooledStoreReturn){};

TEST(PooledStoreReturn, LosesNoCommitAndMakesNoSecondPromoter) {
    checkPlans(withEras({}), storeReturnPlans(), rounds());
}

TEST(PooledStoreReturn, LosesNoCommitAndMakesNoSecondPromoterOnCrowdedServers) {
    checkPlans(withEras(crowdedOptions()), storeReturnPlans(), rounds());
}

/** The seed's promotion has paused the receivers when the store loses it and all nodes die. */
TEST(PooledStoreReturn, ServesOnWhenAllNodesDieWithAPromotionThatTheStoreHasLost) {
    PooledRunOptions options = withEras({});
    options.seed = 64;
    options.faults = {PooledFault::AllNodesDieAtReturn, PooledFault::PrimaryCutFromSomeNodes};
    const PooledReport report = runPooled(options);
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    CHECK_TRUE(hasRecovered(report));
}

/**
 * The seed's successor steps down as it is confirmed, in the era of a store that has returned
 * older. No statement is sent to it without a proof, so only the servers tell that nobody leads.
 */
TEST(PooledStoreReturn, ServesOnWhenTheConfirmedSuccessorDoesNotLead) {
    PooledRunOptions options = withEras(crowdedOptions());
    options.seed = 150;
    options.faults = {PooledFault::StoreReturnsOlder, PooledFault::PromotionCallTroubled};
    const PooledReport report = runPooled(options);
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    CHECK_TRUE(hasRecovered(report));
}

}  // namespace
}  // namespace coralhoist::pooled
