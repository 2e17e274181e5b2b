/** Distribution of settings by the real classes in simulated time, under faults. */
#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>

#include "lab/estate/SimulatedEstate.h"

namespace coralhoist::estate {
namespace {

using namespace std::chrono_literals;
using simulation::HostId;
using simulation::Place;

constexpr std::uint64_t kSeeds = 25;

EstateOptions options(std::uint64_t seed, std::size_t nodes = 12) {
    EstateOptions estate;
    estate.seed = seed;
    estate.nodes = nodes;
    return estate;
}

std::string pathOf(std::uint64_t number) {
    return "estate/group-" + std::to_string(number);
}

void commitTree(SimulatedEstate& estate, std::uint64_t groups) {
    estate.platform().commit("estate", "{}", false);
    for (std::uint64_t group = 0; group < groups; ++group) {
        estate.platform().commit(pathOf(group), R"({"slots_per_server": 5})", false);
    }
}

bool allReady(SimulatedEstate& estate) {
    for (HostId host = 0; host < estate.size(); ++host) {
        if (estate.isRunning(host) && !estate.node(host).distributor().isReady()) {
            return false;
        }
    }
    return true;
}

/** Fails when a node's version of any path ever goes back. */
class VersionWatch {
public:
    void check(SimulatedEstate& estate) {
        for (HostId host = 0; host < estate.size(); ++host) {
            for (const std::string& path : estate.platform().paths()) {
                const std::uint64_t version = estate.node(host).replica().newestVersion(path);
                std::uint64_t& last = _last[{host, path}];
                CHECK_TRUE(version >= last);
                last = version;
            }
        }
    }
    /** The host's process was replaced by one without memory. */
    void forget(HostId host) {
        std::erase_if(_last, [host](const auto& item) { return item.first.first == host; });
    }

private:
    std::map<std::pair<HostId, std::string>, std::uint64_t> _last;
};

void startAndSettle(SimulatedEstate& estate, std::uint64_t groups = 10) {
    commitTree(estate, groups);
    estate.startAll(2s);
    const auto settled = [&] { return allReady(estate) && estate.settingsAgree(); };
    CHECK_TRUE(estate.runUntil(settled, 30s).has_value());
    estate.simulation().queue().runFor(3s);
}

TEST_GROUP(DistributionFault){};

TEST(DistributionFault, AChangeIsInForceEverywhereWithinFourSecondsInSpiteOfLoss) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 30));
        startAndSettle(estate);
        estate.simulation().links().setLoss(0.05);
        estate.platform().commit(pathOf(3), R"({"slots_per_server": 7})", false);
        CHECK_TRUE(estate.runUntil([&] { return estate.settingsAgree(); }, 4s).has_value());
    }
}

TEST(DistributionFault, OnlyAFewNodesReadThePlatform) {
    EstateOptions shape = options(1, 40);
    shape.zonesPerRegion = {2, 2};
    SimulatedEstate estate(shape);
    startAndSettle(estate);
    estate.simulation().queue().runFor(30s);
    LONGS_EQUAL(4 * zone::DistributionOptions{}.readersPerZone, estate.platform().watchCount());
}

TEST(DistributionFault, OthersReadWhenTheReadersOfAZoneCantReachThePlatform) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        EstateOptions shape = options(seed, 8);
        shape.zonesPerRegion = {1};
        SimulatedEstate estate(shape);
        startAndSettle(estate);
        for (HostId host = 0; host < estate.size(); ++host) {
            if (estate.node(host).distributor().shouldReadPlatform(estate.now())) {
                estate.platform().setReachable(host, false);
            }
        }
        estate.simulation().queue().runFor(60s);
        estate.platform().commit(pathOf(1), R"({"slots_per_server": 8})", false);
        CHECK_TRUE(estate.runUntil([&] { return estate.settingsAgree(); }, 4s).has_value());
    }
}

TEST(DistributionFault, APausedReaderComesBackWithNothingOld) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed));
        startAndSettle(estate);
        VersionWatch versions;
        versions.check(estate);
        HostId reader = 0;
        while (!estate.node(reader).distributor().shouldReadPlatform(estate.now())) {
            ++reader;
        }
        estate.simulation().pause(reader);
        for (std::uint64_t change = 0; change < 10; ++change) {
            estate.platform().commit(pathOf(change), R"({"slots_per_server": 9})", change == 4);
            estate.simulation().queue().runFor(3s);
            versions.check(estate);
        }
        estate.simulation().resume(reader);
        CHECK_TRUE(estate.runUntil([&] { return estate.settingsAgree(); }, 10s).has_value());
        versions.check(estate);
    }
}

TEST(DistributionFault, NodesStartFromTheirPeersWhileThePlatformIsDown) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed));
        startAndSettle(estate, 200);
        estate.platform().setReachable(false);
        for (HostId host = 0; host < 6; ++host) {
            estate.start(host);
            CHECK_FALSE(estate.node(host).distributor().isReady());
        }
        const auto ready = [&] { return allReady(estate); };
        CHECK_TRUE(estate.runUntil(ready, 20s).has_value());
        CHECK_TRUE(estate.settingsAgree());
    }
}

TEST(DistributionFault, ANodeWithoutPeersAndPlatformIsNeverReady) {
    SimulatedEstate estate(options(1, 3));
    commitTree(estate, 5);
    estate.platform().setReachable(false);
    estate.startAll(1s);
    estate.simulation().queue().runFor(60s);
    for (HostId host = 0; host < estate.size(); ++host) {
        CHECK_FALSE(estate.node(host).distributor().isReady());
    }
    estate.platform().setReachable(true);
    const auto settled = [&] { return allReady(estate) && estate.settingsAgree(); };
    CHECK_TRUE(estate.runUntil(settled, 20s).has_value());
}

TEST(DistributionFault, ADeletedNodeStaysDeletedAfterThePlatformForgotIt) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        EstateOptions shape = options(seed);
        SimulatedEstate estate(shape);
        startAndSettle(estate);
        // One zone misses the deletion, and the platform forgets it meanwhile.
        const auto cut = estate.simulation().links().cut([](const Place& from, const Place& to) {
            return (from.zone.value() == "region1-c") != (to.zone.value() == "region1-c");
        });
        for (const HostId host : estate.hostsOf(ZoneName("region1-c"))) {
            estate.platform().setReachable(host, false);
        }
        estate.simulation().queue().runFor(5s);
        estate.platform().commit(pathOf(5), "", true);
        estate.platform().commit(pathOf(6), R"({"slots_per_server": 6})", false);
        estate.simulation().queue().runFor(5s);
        estate.platform().forgetTombstones();
        for (HostId host = 0; host < estate.size(); ++host) {
            if (estate.place(host).zone.value() != "region1-c") {
                estate.start(host);
                estate.simulation().queue().runFor(1s);
            }
        }
        estate.simulation().queue().runFor(20s);
        estate.simulation().links().heal(cut);
        for (HostId host = 0; host < estate.size(); ++host) {
            estate.platform().setReachable(host, true);
        }
        estate.simulation().queue().runFor(60s);
        for (HostId host = 0; host < estate.size(); ++host) {
            const RecordPointer held = estate.node(host).replica().find(pathOf(5));
            CHECK_TRUE(held == nullptr || held->deleted);
        }
        CHECK_TRUE(estate.settingsAgree());
    }
}

TEST(DistributionFault, ARegionCutOffFromAllCatchesUp) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        EstateOptions shape = options(seed, 24);
        shape.zonesPerRegion = {2, 2};
        SimulatedEstate estate(shape);
        startAndSettle(estate);
        estate.simulation().queue().runFor(30s);
        const auto cut = estate.simulation().links().cut(
            [](const Place& from, const Place& to) { return from.region != to.region; });
        for (const HostId host : estate.hostsOf(RegionName("region2"))) {
            estate.platform().setReachable(host, false);
        }
        for (std::uint64_t change = 0; change < 60; ++change) {
            estate.platform().commit(pathOf(change % 20), R"({"slots_per_server": 4})",
                                     change % 7 == 0);
            estate.simulation().queue().runFor(60s);
        }
        estate.simulation().links().heal(cut);
        // The platform stays out of the region's reach: the other region's nodes repair it.
        CHECK_TRUE(estate.runUntil([&] { return estate.settingsAgree(); }, 120s).has_value());
    }
}

/** Faults drawn at random: nothing goes back, and all agree in the end. */
void runRandomFaults(std::uint64_t seed) {
    EstateOptions shape = options(seed, 9);
    SimulatedEstate estate(shape);
    startAndSettle(estate, 5);
    SeededRandom random(seed * 7919);
    VersionWatch versions;
    std::vector<std::uint64_t> cuts;
    estate.simulation().links().setLoss(0.02);
    for (int step = 0; step < 20; ++step) {
        const auto host = static_cast<HostId>(random.below(estate.size()));
        const std::uint64_t other = random.below(estate.size());
        switch (random.below(7)) {
            case 0:
                estate.simulation().pause(host);
                break;
            case 1:
                estate.simulation().resume(host);
                break;
            case 2:
                estate.start(host);
                versions.forget(host);
                break;
            case 3:
                estate.platform().setReachable(random.below(2) == 0);
                break;
            case 4:
                cuts.push_back(estate.simulation().links().cut(
                    [host, other](const Place& from, const Place& to) {
                        return from.host == host && to.host % 3 == other % 3;
                    }));
                break;
            case 5:
                for (const std::uint64_t cut : cuts) {
                    estate.simulation().links().heal(cut);
                }
                break;
            default:
                estate.platform().setReachable(host, random.below(2) == 0);
        }
        estate.platform().commit(pathOf(random.below(8)), std::to_string(step),
                                 random.below(4) == 0);
        estate.simulation().queue().runFor(Duration(1ms * random.below(8000)));
        versions.check(estate);
    }
    for (const std::uint64_t cut : cuts) {
        estate.simulation().links().heal(cut);
    }
    estate.platform().setReachable(true);
    for (HostId host = 0; host < estate.size(); ++host) {
        estate.platform().setReachable(host, true);
        estate.simulation().resume(host);
    }
    const auto settled = [&] {
        return estate.viewsAgree() && allReady(estate) && estate.settingsAgree();
    };
    CHECK_TRUE(estate.runUntil(settled, 90s, 500ms).has_value());
    versions.check(estate);
}

TEST(DistributionFault, RandomFaultsNeverBringAnOldVersionBack) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        runRandomFaults(seed);
    }
}

TEST(DistributionFault, TheAskerLearnsWhoHasAVersionInForce) {
    EstateOptions shape = options(2, 60);
    shape.zonesPerRegion = {2, 2};
    SimulatedEstate estate(shape);
    startAndSettle(estate);
    estate.simulation().queue().runFor(60s);
    const std::uint64_t version = estate.platform().commit(pathOf(2), "{}", false);
    estate.simulation().queue().runFor(4s);
    std::optional<zone::InForceSummary> summary;
    const auto ask = [&](std::uint64_t wanted) {
        summary.reset();
        estate.node(0).distributor().askInForce(
            {pathOf(2), wanted},
            [&summary](const zone::InForceSummary& answer) { summary = answer; }, estate.now());
        estate.simulation().rearm(0);
        CHECK_TRUE(estate.runUntil([&] { return summary.has_value(); }, 3s).has_value());
    };
    ask(version);
    LONGS_EQUAL(60, summary->inForce);
    LONGS_EQUAL(0, summary->lacking + summary->silent);
    ask(version + 1);
    LONGS_EQUAL(60, summary->lacking);
    estate.simulation().pause(7);
    ask(version);
    LONGS_EQUAL(59, summary->inForce + summary->silent - 1);
    CHECK_TRUE(summary->silent >= 1);
}

}  // namespace
}  // namespace coralhoist::estate
