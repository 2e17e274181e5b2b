#include <CppUTest/TestHarness.h>

#include <map>

#include "placement/QuotaRequestUnits.h"
#include "placement/WarmupPolicy.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using pooling::PlacedServer;
using pooling::PlacedUnit;
using pooling::PlacementVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Grants the units that the test provides. */
class FakeUnits final : public warmup::RequestUnits {
public:
    warmup::UnitAvailability look(const GroupName&, const ServerName& server,
                                  const warmup::UnitDemand& demand) override {
        lastDemand = demand;
        return {units[server] >= demand.count, expectedIn};
    }
    bool take(const GroupName&, const ServerName& server) override {
        if (units[server] == 0) {
            return false;
        }
        --units[server];
        return true;
    }

    std::map<ServerName, std::uint32_t> units;
    Duration expectedIn = milliseconds(70);
    warmup::UnitDemand lastDemand;
};

}  // namespace

TEST_GROUP(WarmupPolicy) {
    testing::ManualClock clock;
    warmup::ColdServers servers;
    FakeUnits units;
    WarmupPolicy policy{clock, servers, units};
    GroupName group{"g"};
    ServiceName service{"s"};
    TenantName tenant;
    ServerName first{"s1"};
    ServerName second{"s2"};
    ZoneName zone{"z1"};
    PlacedUnit write{group, service, tenant, 3, true, false};
    PlacedUnit read{group, service, tenant, 3, false, false};
    PlacedUnit transaction{group, service, tenant, 3, true, true};
    PlacedServer primary{first, zone, true};
    PlacedServer replica{second, zone, false};

    void setup() override {
        servers.applyGroups({{group, {10, seconds(6)}}}, clock.now());
    }

    /** Both servers' entries have just been received. */
    void receiveEntries(Duration firstCold, Duration secondCold) {
        servers.applyServers(group, {{first, listed(firstCold)}, {second, listed(secondCold)}},
                             clock.now());
    }

    static pooling::ListedServer listed(Duration coldFor) {
        pooling::ListedServer server;
        server.announcement.coldFor = coldFor;
        server.announcement.version = {0, 1};
        return server;
    }
};

TEST(WarmupPolicy, AWarmServerTakesEverythingAndNoUnit) {
    receiveEntries(Duration(0), seconds(6));
    CHECK_TRUE(policy.mayBegin(write, primary).isAllowed());
    CHECK_TRUE(policy.mayContinue(transaction, primary).isAllowed());
    policy.noteSent(write, primary);
    UNSIGNED_LONGS_EQUAL(0, policy.statistics().sent);
}

TEST(WarmupPolicy, AColdServerTakesNothingWithoutAUnit) {
    receiveEntries(seconds(6), Duration(0));
    const PlacementVerdict verdict = policy.mayBegin(write, primary);
    CHECK_TRUE(verdict.kind == PlacementVerdict::Kind::Deferred);
    CHECK_TRUE(verdict.expectedIn == milliseconds(70));
    CHECK_TRUE(policy.nextReview() == clock.now() + milliseconds(70));
    CHECK_FALSE(policy.mayContinue(transaction, primary).isAllowed());
}

TEST(WarmupPolicy, EachStatementToAColdServerTakesAUnit) {
    receiveEntries(seconds(6), Duration(0));
    units.units[first] = 1;
    CHECK_TRUE(policy.mayBegin(write, primary).isAllowed());
    policy.noteSent(write, primary);
    CHECK_FALSE(policy.mayBegin(write, primary).isAllowed());
    UNSIGNED_LONGS_EQUAL(1, policy.statistics().sent);
    UNSIGNED_LONGS_EQUAL(0, policy.statistics().withoutUnit);
}

TEST(WarmupPolicy, ATransactionBeginsWhereItsNextStatementHasAUnitToo) {
    receiveEntries(seconds(6), Duration(0));
    units.units[first] = 1;
    CHECK_FALSE(policy.mayBegin(transaction, primary).isAllowed());
    units.units[first] = 2;
    CHECK_TRUE(policy.mayBegin(transaction, primary).isAllowed());
}

TEST(WarmupPolicy, AnOpenTransactionGoesBeforeWhatBegins) {
    receiveEntries(seconds(6), Duration(0));
    policy.mayBegin(write, primary);
    UNSIGNED_LONGS_EQUAL(3, units.lastDemand.rank);
    policy.mayContinue(transaction, primary);
    UNSIGNED_LONGS_EQUAL(0, units.lastDemand.rank);
}

TEST(WarmupPolicy, ReadsGoToAWarmServer) {
    receiveEntries(Duration(0), seconds(6));
    units.units[second] = 5;
    CHECK_TRUE(policy.mayBegin(read, replica).isForbidden());
}

TEST(WarmupPolicy, ReadsLeaveAColdPrimaryToWhatOnlyItRuns) {
    receiveEntries(seconds(6), seconds(6));
    units.units[first] = 5;
    units.units[second] = 5;
    CHECK_TRUE(policy.mayBegin(read, primary).isForbidden());
    CHECK_TRUE(policy.mayBegin(read, replica).isAllowed());
    CHECK_TRUE(policy.mayBegin(write, primary).isAllowed());
}

TEST(WarmupPolicy, AColdServerIsReviewedWhenItBecomesWarm) {
    receiveEntries(seconds(2), Duration(0));
    CHECK_TRUE(policy.nextReview() == clock.now() + seconds(2));
    clock.advance(seconds(2));
    CHECK_TRUE(policy.mayBegin(write, primary).isAllowed());
}

TEST(WarmupPolicy, AWarmServerLeadsBeforeAColdOne) {
    receiveEntries(seconds(6), Duration(0));
    pooling::ServerAnnouncement announcement;
    announcement.address.server = first;
    CHECK_TRUE(policy.suitabilityOf(group, announcement) == LeadSuitability::Acceptable);
    announcement.address.server = second;
    CHECK_TRUE(policy.suitabilityOf(group, announcement) == LeadSuitability::Preferred);
}

TEST(WarmupPolicy, AColdPrimaryHandsOverWhereAWarmServerCanLead) {
    pooling::ServerAnnouncement announcement;
    announcement.address.server = first;
    receiveEntries(seconds(6), Duration(0));
    CHECK_TRUE(policy.mustHandOver(group, announcement));
    clock.advance(seconds(4));
    CHECK_FALSE(policy.mustHandOver(group, announcement));
}

TEST(WarmupPolicy, AColdPrimaryStaysWhereAllAreCold) {
    pooling::ServerAnnouncement announcement;
    announcement.address.server = first;
    receiveEntries(seconds(6), seconds(6));
    CHECK_FALSE(policy.mustHandOver(group, announcement));
}

TEST(WarmupPolicy, APrimaryThatOneNodeHasLostStays) {
    pooling::ServerAnnouncement announcement;
    announcement.address.server = first;
    receiveEntries(Duration(0), Duration(0));
    policy.noteServerLost(group, first);
    CHECK_FALSE(policy.mayBegin(write, primary).isAllowed());
    CHECK_FALSE(policy.mustHandOver(group, announcement));
}

TEST(WarmupPolicy, WithoutColdServersTheQuotasAreThoseOfTheTenants) {
    receiveEntries(seconds(6), seconds(6));
    const auto tenants = std::make_shared<const tenancy::TenantDirectory>(1);
    servers.applyGroups({}, clock.now());
    POINTERS_EQUAL(tenants.get(), QuotaRequestUnits::quotasOf(tenants, servers, {1.5, 5}).get());
}

TEST(WarmupPolicy, EachServerThatMayBeColdHasAQuotaOfItsOwn) {
    receiveEntries(seconds(6), Duration(0));
    const auto tenants = std::make_shared<const tenancy::TenantDirectory>(1);
    const auto quotas = QuotaRequestUnits::quotasOf(tenants, servers, {1.5, 5});
    UNSIGNED_LONGS_EQUAL(2, quotas->all().size());
    for (const auto& [name, quota] : quotas->all()) {
        CHECK_TRUE(QuotaRequestUnits::isServerQuota(name));
        UNSIGNED_LONGS_EQUAL(20, *quota.quota.mostInSecond);
    }
}

TEST(WarmupPolicy, ATransactionThatRestsAsksForNoUnit) {
    receiveEntries(seconds(6), Duration(0));
    CHECK_TRUE(policy.mayStayIdle(transaction, primary).isAllowed());
    UNSIGNED_LONGS_EQUAL(0, policy.statistics().deferred);
    CHECK_TRUE(policy.nextReview() == clock.now() + seconds(6));
}

}  // namespace coralhoist::placement
