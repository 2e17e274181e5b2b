#include <CppUTest/TestHarness.h>

#include "placement/EvacuationPolicy.h"
#include "placement/EvacuationProgress.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using pooling::PlacementVerdict;
using std::chrono::milliseconds;

constexpr Duration kBound = milliseconds(4000);

}  // namespace

/** Servers s1 (the primary) and s2 in zones a and b. */
TEST_GROUP(EvacuationPolicy) {
    testing::ManualClock clock;
    locality::EvacuatedZones zones{kBound};
    EvacuationPolicy policy{clock, zones};
    EvacuationProgress::Loads loads;
    EvacuationProgress progress{zones, policy, [this] { return loads; }};
    const GroupName group{"g"};
    const ServiceName service{"s"};
    TenantName tenant;
    const ServerName primary{"s1"};
    const ServerName replica{"s2"};
    const ZoneName left{"a"};
    const ZoneName other{"b"};
    std::uint64_t revision = 10;
    pooling::ServerDirectory::Servers servers;

    void setup() override {
        announce(primary, left);
        announce(replica, other);
    }

    void announce(const ServerName& name, const ZoneName& zone) {
        pooling::ServerAnnouncement announcement;
        announcement.address.server = name;
        announcement.zone = zone;
        servers[name] = {announcement, false, {}, false};
        policy.applyServers(group, servers);
    }
    void withdraw(const ServerName& name) {
        servers[name].removed = true;
        policy.applyServers(group, servers);
    }
    void evacuate(const ZoneName& zone, Duration age = milliseconds(500)) {
        zones.takeEvacuation(zone, {0, ++revision}, clock.now() - age, clock.now());
    }
    PlacementVerdict write() {
        return policy.mayBegin({group, service, tenant, 0, true}, {primary, left, true});
    }
    PlacementVerdict readAt(const ServerName& server, const ZoneName& zone) {
        return policy.mayBegin({group, service, tenant, 0, false},
                               {server, zone, server == primary});
    }
    PlacementVerdict goOn() {
        return policy.mayContinue({group, service, tenant, 0, true}, {primary, left, true});
    }
    void send(const ServerName& server, const ZoneName& zone) {
        policy.noteSent({group, service, tenant, 0, false}, {server, zone, server == primary});
    }
};

TEST(EvacuationPolicy, ReadsLeaveAtOnceAndThePrimaryIsUsedUntilTheZoneCloses) {
    evacuate(left);
    CHECK_TRUE(readAt(primary, left).isForbidden());
    CHECK_TRUE(readAt(replica, other).isAllowed());
    CHECK_TRUE(write().isAllowed());
    CHECK_TRUE(goOn().isAllowed());
    clock.advance(milliseconds(3000));
    CHECK_TRUE(write().isForbidden());
    CHECK_TRUE(goOn().isForbidden());
}

TEST(EvacuationPolicy, ReadsStayUntilTheZoneClosesWhereNoServerStandsOutside) {
    withdraw(replica);
    evacuate(left);
    CHECK_TRUE(readAt(primary, left).isAllowed());
    clock.advance(kBound);
    CHECK_TRUE(readAt(primary, left).isForbidden());
}

TEST(EvacuationPolicy, InAClosedZoneWritesWaitForAHandoverAsLongAsOneTakes) {
    evacuate(left, kBound);
    const PlacementVerdict verdict = write();
    CHECK_TRUE(verdict.kind == PlacementVerdict::Kind::Deferred);
    CHECK_TRUE(milliseconds(2000) == verdict.expectedIn);
    clock.advance(milliseconds(2000));
    CHECK_TRUE(write().isForbidden());
}

TEST(EvacuationPolicy, WithoutAServerOutsideWritesAreRefusedAndWaitAgainWhenOneAppears) {
    withdraw(replica);
    evacuate(left, kBound);
    CHECK_TRUE(write().isForbidden());
    clock.advance(milliseconds(5000));
    announce(ServerName("s3"), left);
    CHECK_TRUE(write().isForbidden());
    announce(ServerName("s4"), other);
    CHECK_TRUE(write().kind == PlacementVerdict::Kind::Deferred);
}

TEST(EvacuationPolicy, AServerThatAppearsInTheZoneGetsNothing) {
    evacuate(left, kBound);
    announce(ServerName("s3"), left);
    CHECK_TRUE(readAt(ServerName("s3"), left).isForbidden());
}

TEST(EvacuationPolicy, WithAllZonesEvacuatedNothingIsSentAnywhere) {
    evacuate(left, kBound);
    evacuate(other, kBound);
    CHECK_TRUE(write().isForbidden());
    CHECK_TRUE(readAt(replica, other).isForbidden());
    CHECK_TRUE(readAt(primary, left).isForbidden());
}

TEST(EvacuationPolicy, AZoneThatIsGivenBackIsUsedAgain) {
    evacuate(left, kBound);
    zones.takeRemoval(left, {0, ++revision});
    CHECK_TRUE(write().isAllowed());
    CHECK_TRUE(readAt(primary, left).isAllowed());
    CHECK_FALSE(policy.mustHandOver(group, servers[primary].announcement));
}

TEST(EvacuationPolicy, PrimariesMoveOutAndNodesOfTheZoneGoOnExecuting) {
    evacuate(left);
    CHECK_TRUE(policy.mustHandOver(group, servers[primary].announcement));
    CHECK_FALSE(policy.mustHandOver(group, servers[replica].announcement));
    CHECK_TRUE(LeadSuitability::LastResort ==
               policy.suitabilityOf(group, servers[primary].announcement));
    CHECK_TRUE(LeadSuitability::Preferred ==
               policy.suitabilityOf(group, servers[replica].announcement));
    CHECK_TRUE(policy.mayForwardTo({group, service, tenant, 0, true}, left));
}

TEST(EvacuationPolicy, ReportsWhenVerdictsChangeAndCountsSentStatements) {
    CHECK_FALSE(progress.advance(clock.now()));
    CHECK_FALSE(progress.nextTick().has_value());
    evacuate(left);
    CHECK_TRUE(progress.nextTick() == TimePoint::min());
    CHECK_TRUE(progress.advance(clock.now()));
    loads[left] = {2, 1, 1};
    send(primary, left);
    send(replica, other);
    CHECK_FALSE(progress.advance(clock.now()));
    const TimePoint nextLook = clock.now() + milliseconds(100);
    clock.advance(milliseconds(200));
    CHECK_TRUE(progress.nextTick() == nextLook);
    const EvacuationGauge gauge = progress.gauges(clock.now()).at(left);
    UNSIGNED_LONGS_EQUAL(2, gauge.load.inFlight);
    UNSIGNED_LONGS_EQUAL(1, gauge.sent);
    CHECK_FALSE(gauge.closed);
    UNSIGNED_LONGS_EQUAL(1, policy.sentElsewhere());
    clock.advance(milliseconds(3000));
    CHECK_TRUE(progress.advance(clock.now()));
    loads.clear();
    CHECK_FALSE(progress.advance(clock.now()));
    CHECK_FALSE(progress.nextTick().has_value());
    zones.takeRemoval(left, {0, ++revision});
    CHECK_TRUE(progress.advance(clock.now()));
    CHECK_TRUE(progress.gauges(clock.now()).empty());
}

TEST(EvacuationPolicy, AZoneEvacuatedAgainCountsAsANewEvacuation) {
    evacuate(left, kBound);
    progress.advance(clock.now());
    send(primary, left);
    zones.takeRemoval(left, {0, ++revision});
    clock.advance(milliseconds(10));
    evacuate(left);
    CHECK_TRUE(progress.advance(clock.now()));
    UNSIGNED_LONGS_EQUAL(0, progress.gauges(clock.now()).at(left).sent);
    CHECK_TRUE(write().isAllowed());
}

}  // namespace coralhoist::placement
