/**
 * A tenant ran more than its quota.
 *
 * What users saw: a tenant with a bound of 185 units in 5 s ran 190 of them, a second after all
 * traffic had doubled. No node died, none was cut off, the store was there.
 *
 * Order of events: while the tenant is calm, many nodes ask ahead for units and do not use all of
 * them within their lease. The flood makes all these nodes ask at once, and each returns with its
 * question what it did not use seconds ago. The account, which has refilled since, grants those
 * units a second time. Small machines answer late meanwhile: an answer later than 60 ms was taken
 * for no accounting node, and the asking node ran units of its own beside those granted.
 *
 * Evidence: in a calm network (answers after 1 ms) units returned late are the only cause at work:
 * without their credit the first test holds. With late answers, units run without an account are
 * (counted by QuotaStatistics).
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
/** (rate x window + burst) x (1 + overrun) + slack. */
constexpr std::size_t kBound = 185;
constexpr double kCalmPerSecond = 10;
constexpr int kSeeds = 40;
constexpr milliseconds kCalmFor{8000};
constexpr milliseconds kFloodFor{6000};
constexpr milliseconds kLateBefore{1000};

/** A tenant that is calm, then sends many times its quota at random nodes. */
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

/** @return seeds in which the bound was exceeded, with what is known of them. */
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

TEST(QuotaFlood, UnitsThatComeBackLateDoNotAddToTheBound) {
    STRCMP_EQUAL("", exceededWithAnswersAfter(milliseconds(1)).c_str());
}

TEST(QuotaFlood, ALateAnswerIsNoMissingAccount) {
    STRCMP_EQUAL("", exceededWithAnswersAfter(milliseconds(300)).c_str());
}

}  // namespace
}  // namespace coralhoist::tenancy
