/** Compares callers' results on four slots under load with fair queueing of flows and without
 * flows. */
#include <CppUTest/TestHarness.h>

#include "LoadOnQueue.h"

namespace coralhoist::admission {
namespace {

using std::chrono::milliseconds;

/** The slots serve 200 statements of 20 ms each second. */
constexpr std::uint32_t kSlots = 4;
constexpr Duration kObjective = milliseconds(200);
/** Statements of a tenant that sends its usual load are hardly ever late. */
constexpr double kNearlyAll = 0.98;

using Outcomes = std::map<std::string, Outcome>;

Outcomes played(const std::vector<Source>& sources, std::uint32_t minimumShare = 0) {
    LoadOnQueue load(kSlots);
    load.queue.setMinimumShare(minimumShare);
    return load.play(sources);
}

std::vector<Source> withoutFlows(std::vector<Source> sources) {
    for (Source& source : sources) {
        source.flow.clear();
    }
    return sources;
}

/** @return the part of all statements that were answered within their objective. */
double shareOfAll(const Outcomes& outcomes) {
    Outcome all;
    for (const auto& [name, outcome] : outcomes) {
        all.sent += outcome.sent;
        all.inObjective += outcome.inObjective;
    }
    return all.share();
}

/** Two tenants; one sends ten times its usual load, which equals that of the other. */
const std::vector<Source> kFloodOfOne{{"flood", 1, 500, milliseconds(20), "flood"},
                                      {"usual", 1, 50, milliseconds(20), "usual"}};

/** Three tenants that need more than their share, one of them with long statements. */
const std::vector<Source> kFloodsOfThree{{"ten", 1, 300, milliseconds(20), "ten"},
                                         {"five", 1, 150, milliseconds(20), "five"},
                                         {"long", 1, 100, milliseconds(40), "long"},
                                         {"usual", 1, 20, milliseconds(20), "usual"}};

/** The second rank alone needs all the capacity. */
const std::vector<Source> kThreeRanks{{"first", 0, 60, milliseconds(20)},
                                      {"second", 1, 200, milliseconds(20)},
                                      {"third", 2, 40, milliseconds(20)}};

/** Services of one estate that together need more than the capacity. */
const std::vector<Source> kThreeServices{{"short", 1, 160, milliseconds(9), "short"},
                                         {"middle", 1, 60, milliseconds(28), "middle"},
                                         {"long", 1, 40, milliseconds(47), "long"}};

TEST_GROUP(TurnsUnderLoad){};

TEST(TurnsUnderLoad, AFloodCostsTheTenantThatSendsIt) {
    const Outcome usual = played(kFloodOfOne).at("usual");
    CHECK_TRUE(usual.share() > kNearlyAll);
    CHECK_TRUE(usual.longestWait < kObjective / 2);
    CHECK_TRUE(played(withoutFlows(kFloodOfOne)).at("usual").share() < 0.3);
}

TEST(TurnsUnderLoad, SlotsThatOthersLeaveGoToTheFlood) {
    const Outcomes outcomes = played(kFloodOfOne);
    const Duration given = outcomes.at("flood").slotTime + outcomes.at("usual").slotTime;
    CHECK_TRUE(given > kSlots * milliseconds(9950));
}

TEST(TurnsUnderLoad, SessionsAsFlowsGiveAFloodOverManySessionsMostTurns) {
    std::vector<Source> sources = kFloodOfOne;
    for (Source& source : sources) {
        source.flows = source.perSecond / 5;
    }
    CHECK_TRUE(played(sources).at("usual").share() < 0.5);
}

TEST(TurnsUnderLoad, TenantsThatAskForMoreThanTheirShareGetTheSame) {
    const std::vector<std::string> floods{"ten", "five", "long"};
    const Outcomes outcomes = played(kFloodsOfThree);
    CHECK_TRUE(jain(outcomes, floods) > 0.99);
    CHECK_TRUE(outcomes.at("usual").share() > kNearlyAll);
    CHECK_TRUE(jain(played(withoutFlows(kFloodsOfThree)), floods) < 0.6);
}

TEST(TurnsUnderLoad, ManyTenantsWithOneStatementEachAreMostlyServedShortestFirst) {
    std::vector<Source> sources = kThreeServices;
    for (Source& source : sources) {
        source.flow = "tenant";
        source.flows = 80;
    }
    const double shortest = shareOfAll(played(withoutFlows(kThreeServices)));
    CHECK_TRUE(shareOfAll(played(sources)) > shortest - 0.05);
}

TEST(TurnsUnderLoad, RanksGoFirstAndTheLastGetsNothingWithoutAMinimumShare) {
    const Outcomes outcomes = played(kThreeRanks);
    CHECK_TRUE(outcomes.at("first").share() > kNearlyAll);
    CHECK_TRUE(outcomes.at("second").share() > 0.65);
    CHECK_TRUE(outcomes.at("third").share() < 0.01);
}

TEST(TurnsUnderLoad, AMinimumShareIsKeptForTheLastRank) {
    const Outcomes outcomes = played(kThreeRanks, 20);
    // The third rank gets at least half of the minimum share, because the second rank shares it
    // while the first one is queued, and the whole of it while the first one is not queued.
    CHECK_TRUE(outcomes.at("third").slotTime > kSlots * milliseconds(1000));
    CHECK_TRUE(outcomes.at("third").slotTime < kSlots * milliseconds(2000));
    CHECK_TRUE(outcomes.at("first").share() > kNearlyAll);
    CHECK_TRUE(outcomes.at("first").longestWait < kObjective / 2);
}

TEST(TurnsUnderLoad, ServicesWithoutTurnsAreServedMore) {
    const Outcomes shortest = played(withoutFlows(kThreeServices));
    const Outcomes fair = played(kThreeServices);
    CHECK_TRUE(shareOfAll(shortest) > shareOfAll(fair) + 0.03);
    // The benefit of fair queueing: it serves the services with long statements.
    CHECK_TRUE(fair.at("long").share() > shortest.at("long").share() + 0.2);
}

}  // namespace
}  // namespace coralhoist::admission
