/**
 * Tests a tenant's quota in network partitions that all reach the store: the bound holds in every
 * window, and a tenant within its limit is served in each partition.
 *
 * CORALHOIST_QUOTA_SEEDS sets the number of seeds to run, CORALHOIST_QUOTA_FIRST_SEED the first
 * seed.
 */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>

#include "tests/tenancy/QuotaFaults.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const QuotaTerms kTerms{seconds(5), 0.1, 20};
constexpr unsigned kBoundSeeds = 600;
constexpr unsigned kServedSeeds = 60;
constexpr milliseconds kFaultsFor{24000};
/** Time for which units may run on that were granted before a limit was lowered. */
constexpr Duration kRunsOn = kLongestQuotaLease;
/** Largest share of its statements that a tenant within its limit may have refused in a partition
 * that reaches the store, measured from one second after the nodes were partitioned or reconnected.
 */
constexpr double kMostRefused = 0.02;

unsigned fromEnvironment(const char* name, unsigned otherwise) {
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/** A run with network partitions and additional faults of leaders, deputies, connections and the
 * store. */
class CutRun {
public:
    explicit CutRun(unsigned seed)
        : _random(seed),
          _nodes(3 + _random() % 8),
          _quota{static_cast<double>(5 + _random() % 80), static_cast<double>(_random() % 80)},
          network(_nodes, _quota, kTerms, seed),
          faults(network, _nodes, _random) {}

    /** @return a description of the violation; empty when the bound held. */
    std::string play() {
        const std::size_t highBound = kTerms.bound(_quota);
        const milliseconds lowersAt(_random() % kFaultsFor.count());
        TimePoint lowered = TimePoint::max();
        for (milliseconds now{0}; now < kFaultsFor; ++now) {
            maybeFault(now);
            if (now == lowersAt) {
                _quota.ratePerSecond /= 2;
                network.setQuota(_quota);
                lowered = network.now() + kRunsOn;
            }
            step(now);
        }
        const std::size_t busiest = network.busiestWindow();
        const std::size_t after = network.busiestWindowSince(lowered);
        if (busiest <= highBound && after <= kTerms.bound(_quota)) {
            return "";
        }
        return std::to_string(busiest) + " units of " + std::to_string(highBound) + ", " +
               std::to_string(after) + " of " + std::to_string(kTerms.bound(_quota)) + ": " +
               faults.story() + "\n";
    }

private:
    void maybeFault(Duration now) {
        if (_random() % 2500 == 0) {
            faults.cutIntoSides(now, milliseconds(1000 + _random() % 9000));
        }
        if (_random() % 1500 == 0) {
            faults.beginBesideCut(now);
        }
        if (_random() % 2000 == 0 || now == milliseconds(0)) {
            _perSecond = _quota.ratePerSecond * static_cast<double>(_random() % 80) / 10;
        }
    }

    void step(Duration now) {
        faults.step(now);
        network.step();
        std::poisson_distribution<int> arrivals(_perSecond / 1000);
        for (int statements = arrivals(_random); statements > 0; --statements) {
            network.submit(_random() % _nodes);
        }
    }

    std::mt19937 _random;
    std::size_t _nodes;
    TenantQuota _quota;
    double _perSecond = 0;

public:
    QuotaNetwork network;
    QuotaFaults faults;
};

TEST_GROUP(QuotaDeputies){};

TEST(QuotaDeputies, HoldTheBoundOnAllSidesOfCuts) {
    const unsigned seeds = fromEnvironment("CORALHOIST_QUOTA_SEEDS", kBoundSeeds);
    const unsigned first = fromEnvironment("CORALHOIST_QUOTA_FIRST_SEED", 1);
    std::string broken;
    QuotaStatistics counted;
    for (unsigned seed = first; seed < first + seeds; ++seed) {
        CutRun run(seed);
        if (const std::string how = run.play(); !how.empty()) {
            broken += "seed " + std::to_string(seed) + ": " + how;
        }
        counted.deputized += run.network.statistics().deputized;
        counted.grantedAsDeputy += run.network.statistics().grantedAsDeputy;
    }
    STRCMP_EQUAL("", broken.c_str());
    // The runs test deputies only if deputies grant units.
    CHECK_TRUE(counted.deputized > seeds);
    CHECK_TRUE(counted.grantedAsDeputy > std::uint64_t{20} * seeds);
}

/** Admission decisions at the nodes of one partition. */
struct Served {
    std::size_t ran = 0;
    std::size_t refused = 0;

    double refusedShare() const {
        return static_cast<double>(refused) / static_cast<double>(ran + refused);
    }
};

/** Nodes that are partitioned into two halves, each of which reaches the store. */
class TwoHalves {
public:
    TwoHalves(unsigned seed, double loadShare) : _random(seed), _loadShare(loadShare) {
        for (std::size_t node = 0; node < kNodes; ++node) {
            _order.push_back(node);
        }
        std::shuffle(_order.begin(), _order.end(), _random);
    }

    void play(Duration duration) {
        std::poisson_distribution<int> arrivals(kQuota.ratePerSecond * _loadShare / 1000);
        for (Duration step{0}; step < duration; step += milliseconds(1)) {
            network.step();
            for (int statements = arrivals(_random); statements > 0; --statements) {
                network.submit(_random() % kNodes);
            }
        }
    }

    void cut() {
        network.cutFromEachOther({_order.begin(), _order.begin() + kNodes / 2});
        const std::vector<std::size_t> leaders = network.leaders();
        _leadsFirst = !leaders.empty() && isFirst(leaders[0]);
    }

    void heal() { network.cutFromEachOther({}); }

    /** @return counters of the half with the leader, or of the other half. */
    Served countersOfHalf(bool ofLeader) const {
        Served served;
        for (std::size_t node = 0; node < kNodes; ++node) {
            if ((isFirst(node) == _leadsFirst) == ofLeader) {
                served.ran += network.outcomeAt(node).ran;
                served.refused += network.outcomeAt(node).refused;
            }
        }
        return served;
    }

    /** Runs the simulation and adds the decisions made during the run. */
    void play(Duration duration, Served& withLeader, Served& without) {
        const Served leaderBefore = countersOfHalf(true);
        const Served otherBefore = countersOfHalf(false);
        play(duration);
        add(withLeader, leaderBefore, countersOfHalf(true));
        add(without, otherBefore, countersOfHalf(false));
    }

    static constexpr std::size_t kNodes = 12;
    static constexpr TenantQuota kQuota{25, 25};

    QuotaNetwork network{kNodes, kQuota, kTerms};

private:
    static void add(Served& total, const Served& before, const Served& after) {
        total.ran += after.ran - before.ran;
        total.refused += after.refused - before.refused;
    }

    bool isFirst(std::size_t node) const {
        const auto end = _order.begin() + kNodes / 2;
        return std::find(_order.begin(), end, node) != end;
    }

    std::mt19937 _random;
    double _loadShare;
    std::vector<std::size_t> _order;
    bool _leadsFirst = false;
};

/** @return the refused shares as text if one of them is too large; otherwise an empty text. */
std::string refusedBeyond(double most, double loadShare) {
    Served leader;
    Served other;
    Served healed;
    for (unsigned seed = 1; seed <= kServedSeeds; ++seed) {
        TwoHalves halves(seed, loadShare);
        halves.play(seconds(8));
        halves.cut();
        halves.play(seconds(1));
        halves.play(seconds(7), leader, other);
        halves.heal();
        halves.play(seconds(1));
        halves.play(seconds(6), healed, healed);
    }
    const bool isFine = leader.refusedShare() <= most && other.refusedShare() <= most &&
                        healed.refusedShare() <= most;
    const std::string text = "leader's side " + std::to_string(leader.refusedShare()) +
                             ", other side " + std::to_string(other.refusedShare()) + ", healed " +
                             std::to_string(healed.refusedShare());
    if (std::getenv("CORALHOIST_QUOTA_PRINT") != nullptr) {
        UT_PRINT(text.c_str());
    }
    return isFine ? "" : text;
}

TEST(QuotaDeputies, ServeATenantWithinItsLimitOnBothSides) {
    STRCMP_EQUAL("", refusedBeyond(kMostRefused, 0.6).c_str());
}

TEST(QuotaDeputies, ServeATenantNearItsLimitOnBothSides) {
    STRCMP_EQUAL("", refusedBeyond(kMostRefused, 0.8).c_str());
}

}  // namespace
}  // namespace coralhoist::tenancy
