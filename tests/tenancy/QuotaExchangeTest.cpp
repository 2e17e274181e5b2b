#include <CppUTest/TestHarness.h>

#include <random>

#include "tests/tenancy/QuotaNetwork.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::seconds;

constexpr std::size_t kNodes = 12;
const QuotaTerms kTerms{seconds(5), 0.1, 20};
const TenantQuota kQuota{200, 200};
/** (rate x window + burst) x (1 + overrun) + slack, for the quota and terms below. */
constexpr std::size_t kBound = 1340;

TEST_GROUP(QuotaExchange) {
    QuotaNetwork network{kNodes, kQuota, kTerms};
    std::mt19937 random{4711};

    std::size_t below(std::size_t bound) {
        return random() % bound;
    }

    /**
     * @return the number of statements that ran, of those sent at the given rate and spread over
     * the nodes.
     */
    std::size_t play(int milliseconds, double perSecond) {
        std::bernoulli_distribution arrives(perSecond / 1000);
        const std::size_t before = network.runCount();
        for (int step = 0; step < milliseconds; ++step) {
            network.step();
            const auto statements = static_cast<int>(perSecond / 1000);
            for (int statement = 0; statement < statements; ++statement) {
                network.submit(below(kNodes));
            }
            if (arrives(random)) {
                network.submit(below(kNodes));
            }
        }
        return network.runCount() - before;
    }
};

TEST(QuotaExchange, ATenantBelowItsQuotaIsNotRefused) {
    play(2000, 100);
    CHECK_TRUE(play(10000, 100) > 950);
}

TEST(QuotaExchange, ATenantThatSendsManyTimesItsQuotaStaysWithinTheBound) {
    play(20000, 900);
    CHECK_TRUE(network.busiestWindow() <= kBound);
    CHECK_TRUE(network.busiestWindow() > 950);
}

/** Tests with a quota of 20 units in any second. */
TEST_GROUP(ShortWindow) {
    QuotaNetwork network{kNodes, {10, 0, 20}, kTerms};
    std::mt19937 random{4711};

    /**
     * @return the number of units that ran within the given seconds, at the given number of
     * statements per second.
     */
    std::size_t play(int length, int perSecond) {
        std::bernoulli_distribution arrives(perSecond / 1000.0);
        const std::size_t before = network.runCount();
        for (int step = 0; step < length * 1000; ++step) {
            network.step();
            if (arrives(random)) {
                network.submit(random() % kNodes);
            }
        }
        return network.runCount() - before;
    }
};

TEST(ShortWindow, AFloodStaysWithinTheBoundAndGetsMostOfIt) {
    play(2, 100);
    CHECK_TRUE(play(20, 100) > 270);
    CHECK_TRUE(network.busiestWindow() <= 20);
}

TEST(ShortWindow, StatementsBelowTheRateRun) {
    play(2, 10);
    CHECK_TRUE(play(20, 10) > 185);
}

TEST(ShortWindow, AUnitThatExpiresTooSoonIsReplacedImmediately) {
    play(2, 0);
    int steps = 0;
    while (network.look(0, 1).kind != QuotaDecision::Kind::Granted && ++steps < 2000) {
        network.step();
    }
    CHECK_TRUE(steps < 2000);
    while (network.look(0, 1).kind == QuotaDecision::Kind::Granted) {
        network.step();
    }
    CHECK_TRUE(network.look(0, 1).kind == QuotaDecision::Kind::Waiting);
}

TEST(ShortWindow, UnitsTakenAfterALookStayWithinTheBoundDuringPartitionsAndRestarts) {
    for (int round = 0; round < 40; ++round) {
        network.cut(round % 3 == 0 ? std::set<std::size_t>{random() % kNodes, random() % kNodes}
                                   : std::set<std::size_t>{});
        network.restart(random() % kNodes);
        for (int step = 0; step < 1000; ++step) {
            network.step();
            const std::size_t node = random() % kNodes;
            const std::uint32_t count = 1 + random() % 2;
            if (network.look(node, count).kind == QuotaDecision::Kind::Granted) {
                network.takeHeld(node);
            }
        }
    }
    CHECK_TRUE(network.runCount() > 100);
    CHECK_TRUE(network.busiestWindow() <= 20);
}

TEST(QuotaExchange, TwoSidesOfACutStayWithinTheBoundTogether) {
    for (int round = 0; round < 20; ++round) {
        play(2000 + static_cast<int>(below(3000)), 900);
        std::set<std::size_t> side;
        for (std::size_t node = 0; node < kNodes / 3; ++node) {
            side.insert(below(kNodes));
        }
        network.cut(side);
        play(1000 + static_cast<int>(below(6000)), 900);
        network.cut({});
    }
    CHECK_TRUE(network.busiestWindow() <= kBound);
}

TEST(QuotaExchange, RestartsOfNodesDoNotAddToTheQuota) {
    for (int round = 0; round < 60; ++round) {
        play(300 + static_cast<int>(below(700)), 900);
        network.restart(below(kNodes));
    }
    CHECK_TRUE(network.busiestWindow() <= kBound);
}

TEST(QuotaExchange, TenantStatementsRunWhileTheStoreIsDown) {
    play(5000, 100);
    network.setStoreDown(true);
    CHECK_TRUE(play(4500, 100) > 360);
    play(5000, 100);
    LONGS_EQUAL(0, play(1000, 100));
    network.setStoreDown(false);
    play(1000, 100);
    CHECK_TRUE(play(1000, 100) > 85);
}

}  // namespace
}  // namespace coralhoist::tenancy
