/** Seeded runs of the real pooler and failovers under faults, alone and in pairs. */
#include <CppUTest/TestHarness.h>

#include <vector>

#include "PlanRunner.h"
#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {
namespace {

/** Runs of each plan in one test run; CORALHOIST_SIMULATION_ROUNDS overrides it. */
constexpr std::uint64_t kDefaultRounds = 2;
constexpr std::size_t kCalmAcknowledgements = 1000;

std::uint64_t rounds() {
    return numberFromEnvironment("CORALHOIST_SIMULATION_ROUNDS", kDefaultRounds);
}

/** Runs with forwarding simulate five nodes and take twice the time: they are given fewer rounds.
 */
constexpr std::uint64_t kForwardingShare = 4;

/** Five nodes of which two execute. */
PooledRunOptions forwardingOptions() {
    PooledRunOptions options;
    options.nodes = 5;
    options.executors = 2;
    return options;
}

TEST_GROUP(PooledSimulation){};

TEST(PooledSimulation, CalmRunServesEverything) {
    const PooledReport report = runPooled({});
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    UNSIGNED_LONGS_EQUAL(0, report.promotions);
    CHECK(report.acknowledged > kCalmAcknowledgements);
}

TEST(PooledSimulation, KeepsThePromisesUnderSingleFaultsAndPairs) {
    checkPlans({}, allPooledFaultPlans(), rounds());
}

TEST(PooledSimulation, KeepsThePromisesWhileNodesForward) {
    checkPlans(forwardingOptions(), allPooledFaultPlans(),
               (rounds() + kForwardingShare - 1) / kForwardingShare);
}

TEST(PooledSimulation, CalmRunWithForwardingServesEverything) {
    const PooledReport report = runPooled(forwardingOptions());
    UNSIGNED_LONGS_EQUAL(0, report.violations.size());
    UNSIGNED_LONGS_EQUAL(0, report.promotions);
    CHECK(report.acknowledged > kCalmAcknowledgements);
    CHECK(report.forwarded > report.acknowledged);
}

/** @return of twenty seeds those whose runs the judge rejects. */
std::size_t countRejected(const GroupModel& model, const std::vector<PooledFault>& faults,
                          bool trustsPrimaries = false) {
    std::size_t rejected = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        PooledRunOptions options;
        options.seed = seed;
        options.faults = faults;
        options.group = model;
        options.trustsPrimaries = trustsPrimaries;
        rejected += runPooled(options).violations.empty() ? 0 : 1;
    }
    return rejected;
}

TEST(PooledSimulation, TheJudgeRejectsServersThatIgnorePausesOfNodesThatAwaitNoProof) {
    GroupModel model;
    model.ignoresPauses = true;
    const std::vector<PooledFault> faults{PooledFault::PrimaryCutFromSomeNodes,
                                          PooledFault::NodeCutFromStore};
    CHECK(countRejected(model, faults, true) > 0);
    // Nodes that await proofs depend on no pause here.
    UNSIGNED_LONGS_EQUAL(0, countRejected(model, faults));
}

TEST(PooledSimulation, TheJudgeRejectsNodesThatAwaitNoProofOfAPromotionUnheard) {
    CHECK(countRejected({}, {PooledFault::PromotionUnheard}, true) > 0);
}

TEST(PooledSimulation, TheJudgeRejectsServersThatAnswerBeforeTheyReplicate) {
    GroupModel model;
    model.answersEarly = true;
    CHECK(countRejected(model, {PooledFault::PrimaryCutFromReplicas, PooledFault::PrimaryCrashes}) >
          0);
}

TEST(PooledSimulation, ServersProveTheLeadershipWhileTheStoreIsDown) {
    std::uint64_t proofs = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        PooledRunOptions options;
        options.seed = seed;
        options.faults = {PooledFault::StoreDown};
        options.readOnly = true;
        const PooledReport report = runPooled(options);
        UNSIGNED_LONGS_EQUAL(0, report.violations.size());
        proofs += report.provenByServers;
    }
    CHECK(proofs > 0);
}

TEST(PooledSimulation, TheSameSeedGivesTheSameRun) {
    PooledRunOptions options;
    options.seed = 7;
    options.faults = {PooledFault::PrimaryCrashes, PooledFault::AnswersLost};
    UNSIGNED_LONGS_EQUAL(runPooled(options).acknowledged, runPooled(options).acknowledged);
}

}  // namespace
}  // namespace coralhoist::pooled
