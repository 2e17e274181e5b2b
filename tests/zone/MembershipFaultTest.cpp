/** Faults of the network and of processes against real Membership objects in simulated time. */
#include <CppUTest/TestHarness.h>

#include "lab/estate/SimulatedEstate.h"

namespace coralhoist::estate {
namespace {

using namespace std::chrono_literals;
using simulation::HostId;
using simulation::Place;

constexpr std::uint64_t kSeeds = 20;

EstateOptions options(std::uint64_t seed, std::size_t nodes = 9) {
    EstateOptions estate;
    estate.seed = seed;
    estate.nodes = nodes;
    return estate;
}

void startAndSettle(SimulatedEstate& estate) {
    estate.startAll(2s);
    CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 30s).has_value());
    estate.simulation().queue().runFor(5s);
}

TEST_GROUP(MembershipFault){};

TEST(MembershipFault, AllNodesFindEachOtherInSpiteOfLoss) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 30));
        estate.simulation().links().setLoss(0.1);
        estate.startAll(2s);
        CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 30s).has_value());
        LONGS_EQUAL(0, estate.deathsSeen());
    }
}

TEST(MembershipFault, AFailureIsKnownEverywhereWithinSeconds) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 30));
        startAndSettle(estate);
        estate.stop(7);
        const auto known = estate.runUntil([&] { return estate.viewsAgree(); }, 10s);
        CHECK_TRUE(known.has_value());
        CHECK_TRUE(*known > 1s);
    }
}

TEST(MembershipFault, TheLastOfTwoNoticesThatTheOtherDied) {
    SimulatedEstate estate(options(1, 2));
    startAndSettle(estate);
    estate.stop(1);
    CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 5s).has_value());
}

TEST(MembershipFault, ALinkCutOneWayBetweenZonesKillsNobody) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 12));
        startAndSettle(estate);
        estate.simulation().links().cut([](const Place& from, const Place& to) {
            return from.zone.value() == "region1-a" && to.zone.value() == "region1-b";
        });
        estate.simulation().queue().runFor(60s);
        LONGS_EQUAL(0, estate.deathsSeen());
    }
}

TEST(MembershipFault, ANodeThatHearsNobodyKillsNobodyElse) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 9));
        startAndSettle(estate);
        estate.simulation().links().cut(
            [](const Place& from, const Place& to) { return to.host == 4 && from.host != 4; });
        estate.simulation().queue().runFor(60s);
        for (HostId host = 0; host < estate.size(); ++host) {
            if (host != 4) {
                LONGS_EQUAL(1, estate.node(host).viewChanges().died);
                CHECK_FALSE(estate.node(host).seesLive(estate.nameOf(4)));
            }
        }
    }
}

TEST(MembershipFault, APausedNodeComesBackWithoutDeclaringOthersDead) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 9));
        startAndSettle(estate);
        estate.simulation().pause(3);
        estate.simulation().queue().runFor(30s);
        CHECK_FALSE(estate.node(0).seesLive(estate.nameOf(3)));
        estate.simulation().resume(3);
        CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 10s).has_value());
        estate.simulation().queue().runFor(20s);
        LONGS_EQUAL(0, estate.node(3).viewChanges().died);
        // Each of the other eight saw one death, and nothing flapped afterwards.
        LONGS_EQUAL(8, estate.deathsSeen());
    }
}

TEST(MembershipFault, AZoneRestartsAsAWhole) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 30));
        startAndSettle(estate);
        const auto zone = estate.hostsOf(ZoneName("region1-b"));
        for (const HostId host : zone) {
            estate.stop(host);
        }
        CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 15s).has_value());
        const std::uint64_t deaths = estate.deathsSeen();
        LONGS_EQUAL(200, deaths);
        for (const HostId host : zone) {
            estate.start(host);
        }
        CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 15s).has_value());
        estate.simulation().queue().runFor(30s);
        LONGS_EQUAL(deaths, estate.deathsSeen());
    }
}

TEST(MembershipFault, AZoneCutOffFromItsRegionComesBackWithoutFlapping) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SimulatedEstate estate(options(seed, 12));
        startAndSettle(estate);
        const auto cut = estate.simulation().links().cut([](const Place& from, const Place& to) {
            return (from.zone.value() == "region1-c") != (to.zone.value() == "region1-c");
        });
        estate.simulation().queue().runFor(300s);
        const std::uint64_t deaths = estate.deathsSeen();
        estate.simulation().links().heal(cut);
        CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 60s).has_value());
        estate.simulation().queue().runFor(60s);
        LONGS_EQUAL(deaths, estate.deathsSeen());
    }
}

TEST(MembershipFault, ARegionCutOffForAnHourFindsTheOthersAgain) {
    EstateOptions shape = options(5, 36);
    shape.zonesPerRegion = {3, 3, 3};
    SimulatedEstate estate(shape);
    startAndSettle(estate);
    estate.simulation().queue().runFor(60s);
    const auto cut = estate.simulation().links().cut([](const Place& from, const Place& to) {
        return (from.region.value() == "region2") != (to.region.value() == "region2");
    });
    estate.simulation().queue().runFor(3600s);
    LONGS_EQUAL(0, estate.deathsSeen());
    estate.simulation().links().heal(cut);
    // Machines that were replaced meanwhile: new contacts must be learnt.
    const auto region = estate.hostsOf(RegionName("region2"));
    for (std::size_t index = 0; index < region.size() / 2; ++index) {
        estate.stop(region[index]);
    }
    estate.simulation().queue().runFor(300s);
    for (HostId host = 0; host < estate.size(); ++host) {
        if (!estate.isRunning(host)) {
            continue;
        }
        LONGS_EQUAL(2, estate.node(host).membership().contacts().regions().size());
        if (estate.place(host).region.value() != "region2") {
            const auto contact = estate.node(host).membership().contacts().pick(
                RegionName("region2"), estate.simulation().random());
            CHECK_TRUE(contact.has_value());
        }
    }
}

TEST(MembershipFault, ALeavingNodeIsKnownEverywhereAndItsStopNeedsNoDetection) {
    SimulatedEstate estate(options(3, 30));
    startAndSettle(estate);
    estate.node(5).membership().leave(estate.now());
    estate.simulation().rearm(5);
    const auto everybodyKnows = [&] {
        for (HostId host = 0; host < estate.size(); ++host) {
            const auto* member = estate.node(host).membership().members().find(estate.nameOf(5));
            if (zone::takesWork(*member)) {
                return false;
            }
        }
        return true;
    };
    CHECK_TRUE(estate.runUntil(everybodyKnows, 3s).has_value());
    estate.node(5).membership().announceStop();
    estate.stop(5);
    CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 2s).has_value());
}

TEST(MembershipFault, OldGossipRevivesNobody) {
    SimulatedEstate estate(options(4, 9));
    startAndSettle(estate);
    const zone::Member old = *estate.node(0).membership().members().find(estate.nameOf(6));
    estate.stop(6);
    CHECK_TRUE(estate.runUntil([&] { return estate.viewsAgree(); }, 10s).has_value());
    zone::MembershipMessage replayed;
    replayed.sender = estate.node(1).membership().self();
    replayed.updates.push_back(old);
    estate.simulation().queue().runFor(600s);
    estate.node(0).membership().onDatagram({"10.0.0.1", 7400}, replayed, estate.now());
    CHECK_FALSE(estate.node(0).seesLive(estate.nameOf(6)));
}

}  // namespace
}  // namespace coralhoist::estate
