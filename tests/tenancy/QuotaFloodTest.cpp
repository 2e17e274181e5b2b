/**
 * Guards against a tenant exceeding its quota when the load rises suddenly: with a bound of 185
 * units in 5 s, 190 units ran one second after all traffic had doubled, without any fault of a
 * node, a link or the store.
 *
 * Under low load, many nodes request units in advance and do not use all of them within their
 * lease. When the load rises, all these nodes send requests at once and return units that have been
 * unused for seconds. The leader's token bucket has refilled since, so crediting the returned
 * units grants them a second time. Under load, responses are late as well: if a response later than
 * 60 ms is treated as the loss of the leader, the requesting node runs its own units in addition
 * to those granted.
 *
 * In a network with responses after 1 ms, only units that are returned late cause the fault: the
 * first test passes if the returned units are not credited. With late responses, units that run
 * without a grant of the leader are a second cause.
 */
#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

#include "tests/tenancy/QuotaNetwork.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 24;
const QuotaTerms kTerms{seconds(5), 0.1, 20};
const TenantQuota kQuota{25, 25};
/** (rate x window + burst) x (1 + overrun) + slack, for the quota and terms below. */
constexpr std::size_t kBound = 185;
constexpr double kCalmPerSecond = 10;
constexpr int kSeeds = 40;
constexpr milliseconds kCalmFor{8000};
constexpr milliseconds kFloodFor{6000};
constexpr milliseconds kLateBefore{1000};

/** Simulates a tenant with low load that then sends many times its quota to random nodes. */
class Flood {
public:
    explicit Flood(unsigned seed)
        : _random(seed), _perSecond(std::uniform_real_distribution(100.0, 300.0)(_random)) {}

    void play(milliseconds duration, double perSecond) {
        std::poisson_distribution<int> arrivals(perSecond / 1000);
        std::uniform_int_distribution<std::size_t> node(0, kNodes - 1);
        for (milliseconds step{0}; step < duration; ++step) {
            network.step();
            for (int statements = arrivals(_random); statements > 0; --statements) {
                network.submit(node(_random));
            }
        }
    }

    void playWithAnswersAfter(Duration delay) {
        play(kCalmFor - kLateBefore, kCalmPerSecond);
        network.setAnswerDelay(delay);
        play(kLateBefore, kCalmPerSecond);
        play(kFloodFor, _perSecond);
    }

    QuotaNetwork network{kNodes, kQuota, kTerms};

private:
    std::mt19937 _random;
    double _perSecond;
};

/** @return the seeds in which the bound was exceeded, with details. */
std::string exceededWithAnswersAfter(Duration delay) {
    std::string exceeded;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        Flood flood(seed);
        flood.playWithAnswersAfter(delay);
        const std::size_t busiest = flood.network.busiestWindow();
        if (busiest > kBound) {
            const QuotaStatistics counted = flood.network.statistics();
            exceeded += "seed " + std::to_string(seed) + ": " + std::to_string(busiest) +
                        " (unused " + std::to_string(counted.unused) + ", late answers " +
                        std::to_string(counted.lateResponses) + ") ";
        }
    }
    return exceeded;
}

TEST_GROUP(QuotaFlood){};

TEST(QuotaFlood, UnitsReturnedLateAreNotGrantedASecondTime) {
    STRCMP_EQUAL("", exceededWithAnswersAfter(milliseconds(1)).c_str());
}

TEST(QuotaFlood, ALateResponseIsNotTreatedAsAMissingAccountingNode) {
    STRCMP_EQUAL("", exceededWithAnswersAfter(milliseconds(300)).c_str());
}

}  // namespace
}  // namespace coralhoist::tenancy
