/**
 * Checks that a tenant gets its full quota: all statements run below its limit, and beyond it as
 * many units as its rate and burst allow. Simulates 78 nodes, each with one or two statements of
 * the tenant at a time.
 */
#include <CppUTest/TestHarness.h>

#include <random>

#include "tests/tenancy/QuotaNetwork.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 78;
constexpr int kSettleFor = 10000;
constexpr int kCountFor = 15000;
const QuotaTerms kTerms{seconds(5), 0.1, 20};

/** Outcome of a tenant's statements during the measured period. */
struct Served {
    double asked = 0;
    double ran = 0;
    double refused = 0;
    /** Number of units that rate and burst allow in this period. */
    double allowed = 0;
    std::size_t busiestWindow = 0;
};

double inWindows(const TenantQuota& quota) {
    const double window = std::chrono::duration<double>(kTerms.window).count();
    return (quota.ratePerSecond * window + quota.burst) / window;
}

/** Simulates a tenant that sends a multiple of its rate and does not retry after a refusal. */
Served play(const TenantQuota& quota, double times) {
    QuotaNetwork network(kNodes, quota, kTerms);
    network.setAnswerDelay(milliseconds(2));
    std::mt19937 random(7);
    std::poisson_distribution<int> arrivals(quota.ratePerSecond * times / 1000);
    Served served;
    for (int now = -kSettleFor; now < kCountFor; ++now) {
        if (now == 0) {
            served.ran = -static_cast<double>(network.runCount());
            served.refused = -static_cast<double>(network.refusedCount());
        }
        network.step();
        for (int statements = arrivals(random); statements > 0; --statements) {
            served.asked += now >= 0 ? 1 : 0;
            network.submit(random() % kNodes);
        }
    }
    served.ran += static_cast<double>(network.runCount());
    served.refused += static_cast<double>(network.refusedCount());
    served.allowed = inWindows(quota) * kCountFor / 1000;
    served.busiestWindow = network.busiestWindow();
    return served;
}

TEST_GROUP(QuotaOwed){};

TEST(QuotaOwed, BelowItsLimitNoStatementOfATenantIsRefused) {
    for (const double rate : {13.0, 160.0}) {
        DOUBLES_EQUAL(0, play({rate, rate}, 0.8).refused, 0);
    }
}

TEST(QuotaOwed, BeyondItsLimitATenantRunsAllUnitsThatRateAndBurstAllow) {
    for (const double rate : {13.0, 160.0}) {
        for (const double times : {1.5, 6.0}) {
            const TenantQuota quota{rate, rate};
            const Served served = play(quota, times);
            CHECK_TRUE(served.ran >= served.allowed);
            CHECK_TRUE(served.busiestWindow <= kTerms.bound(quota));
        }
    }
}

}  // namespace
}  // namespace coralhoist::tenancy
