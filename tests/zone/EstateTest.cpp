/** Load and delays of membership and settings distribution on an estate of several regions. */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

#include "lab/estate/SimulatedEstate.h"

namespace coralhoist::estate {
namespace {

using namespace std::chrono_literals;
using simulation::HostId;

constexpr double kControlBytesPerSecond = 4096;
constexpr Duration kInForce = 4s;
constexpr Duration kFailureKnown = 12s;
constexpr Duration kWindow = 20s;

EstateOptions options(std::size_t nodes) {
    EstateOptions estate;
    estate.nodes = nodes;
    estate.zonesPerRegion = {4, 4, 3, 3, 3, 3, 3};
    estate.seeds = 7;
    return estate;
}

void commitGroups(SimulatedEstate& estate, std::size_t groups) {
    for (std::size_t group = 0; group < groups; ++group) {
        const std::string path = "estate/group-" + std::to_string(group);
        estate.platform().commit(path, R"({"statement_timeout_ms":800})", false);
    }
}

std::uint64_t bytesSent(SimulatedEstate& estate) {
    std::uint64_t bytes = 0;
    for (HostId host = 0; host < estate.size(); ++host) {
        bytes += estate.simulation().traffic(host).bytesSent;
    }
    return bytes;
}

TEST_GROUP(Estate){};

TEST(Estate, ASmallEstateOfAllRegionsKeepsTheLimits) {
    constexpr std::size_t kNodes = 230;
    SimulatedEstate estate(options(kNodes));
    commitGroups(estate, 500);
    estate.warmStart();
    estate.simulation().queue().runFor(10s);
    estate.simulation().resetTraffic();
    estate.simulation().queue().runFor(kWindow);
    const double perNode = static_cast<double>(bytesSent(estate)) / kNodes /
                           std::chrono::duration<double>(kWindow).count();
    CHECK_TRUE(perNode > 0);
    CHECK_TRUE(perNode < kControlBytesPerSecond);

    estate.platform().commit("estate/group-7", R"({"statement_timeout_ms":900})", false);
    const zone::ObjectVersion changed{estate.platform().lastPath(), estate.platform().version()};
    const auto inForce = estate.runUntil(
        [&] { return estate.countInForce(changed) == estate.runningCount(); }, kInForce);
    CHECK_TRUE(inForce.has_value());

    const HostId victim = 11;
    const auto region = estate.hostsOf(estate.place(victim).region);
    const NodeName name = estate.nameOf(victim);
    estate.stop(victim);
    const auto known = estate.runUntil(
        [&] {
            return std::none_of(region.begin(), region.end(), [&](HostId host) {
                return estate.isRunning(host) && estate.node(host).seesLive(name);
            });
        },
        kFailureKnown);
    CHECK_TRUE(known.has_value());
}

TEST(Estate, TheSameSeedGivesTheSameTraffic) {
    std::uint64_t sent[2] = {0, 0};
    for (std::uint64_t& bytes : sent) {
        SimulatedEstate estate(options(46));
        commitGroups(estate, 50);
        estate.warmStart();
        estate.simulation().queue().runFor(kWindow);
        bytes = bytesSent(estate);
    }
    CHECK_TRUE(sent[0] > 0);
    UNSIGNED_LONGS_EQUAL(sent[0], sent[1]);
}

}  // namespace
}  // namespace coralhoist::estate
