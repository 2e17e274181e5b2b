/** What the store holds reaches the region beside it over one link that is narrow and may be cut.
 */
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

#include "tests/cluster/FollowerNetwork.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 36;
constexpr unsigned kSeeds = 6;

/** The store stands in the south with a third of the nodes. */
locality::RegionMap twoRegions() {
    return locality::RegionMap({{ZoneName("z0"), RegionName("south")},
                                {ZoneName("z1"), RegionName("north")},
                                {ZoneName("z2"), RegionName("north")}});
}

void changeOften(FollowerNetwork& network, Duration until) {
    for (Duration time = seconds(1); time < until; time += milliseconds(400)) {
        network.at(time, [&network] { network.change("config"); });
    }
}

TEST_GROUP(RegionCut){};

TEST(RegionCut, ACalmRegionIsToldOverOneLinkAndKeepsItsBounds) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        FollowerNetwork network(kNodes, seed, twoRegions());
        changeOften(network, seconds(14));
        network.run(seconds(6));
        const std::size_t calls = network.crossingCalls();
        const std::size_t answers = network.crossingAnswers();
        network.run(seconds(10));
        STRCMP_EQUAL("", network.violations().c_str());
        // One node asks across, or one reads the store there and is asked from here.
        CHECK(network.crossingCalls() - calls <= 60);
        CHECK(network.crossingAnswers() - answers <= 80);
    }
}

TEST(RegionCut, WithoutAnyChangeNoNodeOfTheRegionTakesItsSourceForLate) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        FollowerNetwork network(kNodes, seed, twoRegions());
        network.run(seconds(6));
        const std::size_t calls = network.crossingCalls();
        network.run(seconds(10));
        CHECK(network.crossingCalls() - calls <= 60);
    }
}

TEST(RegionCut, AfterAWholeCutTheBoundsHoldAgain) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        FollowerNetwork network(kNodes, seed, twoRegions());
        changeOften(network, seconds(22));
        network.at(seconds(5), [&network] { network.setRegionCut(true); });
        network.at(seconds(11), [&network] { network.setRegionCut(false); });
        network.run(seconds(24));
        STRCMP_EQUAL("", network.violations().c_str());
    }
}

TEST(RegionCut, ALinkThatFlapsDelaysNothingAfterwards) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        FollowerNetwork network(kNodes, seed, twoRegions());
        changeOften(network, seconds(22));
        for (Duration time = seconds(4); time < seconds(12); time += milliseconds(1400)) {
            network.at(time, [&network] { network.setRegionCut(true); });
            network.at(time + milliseconds(700), [&network] { network.setRegionCut(false); });
        }
        network.run(seconds(24));
        STRCMP_EQUAL("", network.violations().c_str());
    }
}

TEST(RegionCut, ASlowLinkBreaksNoBound) {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        FollowerNetwork network(kNodes, seed, twoRegions());
        changeOften(network, seconds(18));
        network.at(seconds(5), [&network] { network.setCrossing(milliseconds(300)); });
        network.at(seconds(12), [&network] { network.setCrossing(milliseconds(30)); });
        network.run(seconds(20));
        STRCMP_EQUAL("", network.violations().c_str());
    }
}

}  // namespace
}  // namespace coralhoist::cluster
