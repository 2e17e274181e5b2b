/**
 * Tests every path on which a statement bound to home regions could leave them. The fixture's node
 * and the primary s1 are in the north, the replicas s2 and s3 in the south.
 */
#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "PoolerFixture.h"
#include "ScriptedForwarder.h"
#include "placement/HomePolicy.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

const RegionName kNorth("north");
const RegionName kSouth("south");
const ZoneName kNorthZone("z1");
const ZoneName kSouthZone("z2");
const ServerName kNorthServer("s1");
const TenantName kTenant("t");
constexpr int kNodesPerZone = 10;

locality::RegionMap makeRegions() {
    return locality::RegionMap(
        {{kNorthZone, kNorth}, {kSouthZone, kSouth}, {ZoneName("z3"), kSouth}});
}

UnitResult inTransaction() {
    UnitResult result;
    result.result.state = SessionState::InTransaction;
    return result;
}

/** A pooler whose services and tenant are assigned home regions while it runs. */
struct Homes {
    PoolerFixture pooled;
    placement::HomePolicy policy{pooled.clock, makeRegions(),
                                 [this](const GroupName& group) -> const ServerDirectory::Servers& {
                                     return pooled.directory.serversOf(group);
                                 }};
    std::vector<RegionName> tenantHomes;

    /** Replicas serve reads only after a position that they must have reached is known. */
    Homes() {
        pooled.submit(pooled.session("current"), StatementVerb::Write, "WRITE 0 z");
        pooled.succeed({1, 50});
    }

    /** Applies home regions to all services, as a change of settings does. */
    void bind(const std::vector<RegionName>& homes) {
        ServiceCatalog catalog;
        for (const char* service : {"current", "bounded", "own"}) {
            CatalogEntry& entry = catalog.services[ServiceName(service)];
            entry.group = pooled.group;
            entry.settings.homeRegions = homes;
        }
        const tenancy::TenantDirectory tenants(1, {tenancy::Tenant{kTenant, {}, {}, tenantHomes}},
                                               {});
        policy.apply(catalog, tenants);
        pooled.pooler.setPlacementPolicy(policy);
        pooled.pooler.reviewPlacement();
        _reachedNorth = pooled.connector.reached[kNorthServer];
    }
    void read() { pooled.submit(pooled.session("bounded"), StatementVerb::Read, "READ 1"); }
    void readAsTenant() {
        const SessionId session = pooled.pooler.openSession(ServiceName("bounded"), kTenant);
        pooled.submit(session, StatementVerb::Read, "READ 1");
    }
    void checkFault(StatementFault fault) const {
        const StatementResult& result = pooled.replies.back().result;
        CHECK_TRUE(result.error && result.error->fault == fault);
    }
    void checkMessage(const char* message) const {
        STRCMP_EQUAL(message, pooled.replies.back().result.error->message.c_str());
    }
    /**
     * @return whether no command was sent to the server in the north since the homes were applied.
     */
    bool northUnused() { return pooled.connector.reached[kNorthServer] == _reachedNorth; }

private:
    std::size_t _reachedNorth = 0;
};

}  // namespace

TEST_GROUP(HomesAtServers) {
    Homes homes;
    PoolerFixture& fixture = homes.pooled;

    /** @return a session whose transaction is open on the primary. */
    SessionId openTransaction() {
        const SessionId session = fixture.session("current");
        fixture.submit(session, StatementVerb::Begin, "BEGIN");
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        fixture.acknowledge(SessionState::InTransaction);
        fixture.succeed({1, 100}, SessionState::InTransaction);
        return session;
    }
    void write() {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    }
};

TEST(HomesAtServers, AllReadsUseServersInAHomeRegion) {
    homes.bind({kSouth});
    for (int count = 0; count < 10; ++count) {
        homes.read();
    }
    CHECK(fixture.pendingCount() > 0);
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, ARepetitionOfAReadStaysInAHome) {
    homes.bind({kSouth});
    homes.read();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    fixture.advance(milliseconds(250));
    CHECK(fixture.pooler.statistics().hedges > 0);
    fixture.openConnections();
    fixture.advance(milliseconds(250));
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, ARefusedReadIsRepeatedInAHome) {
    homes.bind({kSouth});
    homes.read();
    for (int refusals = 0; refusals < 2; ++refusals) {
        CHECK(fixture.pendingCount() > 0);
        fixture.refuse(StatementFault::Busy);
        fixture.advance(milliseconds(60));
    }
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, ValuesAndShapesOfASessionReachServersInAHomeAlone) {
    homes.bind({kSouth});
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Set, "SET a 1", "a", "1");
    fixture.submit(session, StatementVerb::Prepare, "PREPARE p READ q", "p", "q");
    fixture.submit(session, StatementVerb::Execute, "EXECUTE p 5", "p", "5");
    UNSIGNED_LONGS_EQUAL(3, fixture.pendingCount());
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, AWriteRunsOnceAServerInAHomeLeads) {
    homes.bind({kSouth});
    fixture.announce("s2", 2);
    fixture.advance(milliseconds(600));
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    write();
    fixture.openConnections();
    CHECK(fixture.pendingCount() > 0);
    STRCMP_EQUAL("s2", fixture.pending().server.value().c_str());
}

TEST(HomesAtServers, AWriteForAPrimaryOutsideTheHomesIsRefusedAtOnce) {
    homes.bind({kSouth});
    write();
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.checkFault(StatementFault::Busy);
    homes.checkMessage("not run (primary_outside_home_regions); come back in 2500 ms");
}

TEST(HomesAtServers, HomesWithoutARegionInCommonAreRefusedAtOnce) {
    homes.tenantHomes = {kNorth};
    homes.bind({kSouth});
    homes.readAsTenant();
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.checkFault(StatementFault::Busy);
    homes.checkMessage("not run (home_regions_disjoint); come back in 1000 ms");
}

TEST(HomesAtServers, ARegionWithoutServersIsRefusedAtOnce) {
    homes.bind({RegionName("west")});
    homes.read();
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.checkMessage("not run (no_server_in_home_regions); come back in 1000 ms");
}

TEST(HomesAtServers, ATenantIsBoundBesideItsService) {
    homes.tenantHomes = {kSouth};
    homes.bind({kNorth, kSouth});
    for (int count = 0; count < 10; ++count) {
        homes.readAsTenant();
    }
    fixture.openConnections();
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, ATransactionThatRestsElsewhereEndsWhenHomesComeIntoForce) {
    const SessionId session = openTransaction();
    homes.bind({kSouth});
    CHECK_TRUE(SessionState::Failed == fixture.pooler.stateOfSession(session));
    fixture.submit(session, StatementVerb::Write, "WRITE 2 b");
    homes.checkFault(StatementFault::Aborted);
    CHECK_TRUE(
        std::none_of(fixture.connector.sent.begin(), fixture.connector.sent.end(),
                     [](const SentCommand& sent) { return sent.command.text == "WRITE 2 b"; }));
}

TEST(HomesAtServers, APendingResponseIsDeliveredAndTheNextStatementIsNotSent) {
    const SessionId session = openTransaction();
    fixture.submit(session, StatementVerb::Write, "WRITE 2 b");
    homes.bind({kSouth});
    fixture.succeed({1, 101}, SessionState::InTransaction);
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    homes.checkFault(StatementFault::Aborted);
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

TEST(HomesAtServers, TheOutcomeOfAPendingCommitIsReported) {
    const SessionId session = openTransaction();
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    homes.bind({kSouth});
    fixture.succeed({1, 101});
    CHECK_TRUE(fixture.replies.back().result.succeeded());
}

TEST(HomesAtServers, AStatementWhoseBeginIsUnderWayIsNotSent) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    homes.bind({kSouth});
    fixture.acknowledge(SessionState::InTransaction);
    homes.checkFault(StatementFault::Aborted);
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtServers, AStatementThatWaitsIsPlacedByTheNewHomes) {
    fixture.advance(milliseconds(600));
    fixture.submit(fixture.session("current"), StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.bind({kSouth});
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.checkFault(StatementFault::Busy);
}

TEST(HomesAtServers, WithoutHomesEveryServerIsAllowed) {
    homes.bind({kSouth});
    homes.bind({});
    write();
    STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
}

TEST(HomesAtServers, AnExecutorIsBoundByItsOwnSettingsToo) {
    homes.bind({kSouth});
    UnitOpening opening;
    opening.service = ServiceName("current");
    opening.group = fixture.group;
    opening.settings.statementTimeout = milliseconds(800);
    UnitStatement statement;
    statement.statement.id = "forwarded";
    statement.statement.verb = StatementVerb::Write;
    statement.statement.text = "WRITE 1 a";
    fixture.pooler.submitUnit(fixture.pooler.openUnit(opening), statement);
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    homes.checkFault(StatementFault::Busy);
}

/** This node executes nothing; a northern and a southern zone have ten nodes each. */
TEST_GROUP(HomesAtNodes) {
    Homes homes;
    PoolerFixture& fixture = homes.pooled;
    ScriptedForwarder forwarder;
    std::vector<ProxyNode> nodes;

    void setup() override {
        fixture.pooler.setForwarder(forwarder);
        for (const ZoneName& zone : {kNorthZone, kSouthZone}) {
            for (int index = 0; index < kNodesPerZone; ++index) {
                const NodeName name(zone.value() + "-" + std::to_string(index));
                nodes.push_back({name, zone, "10.0.0.1", 7000});
            }
        }
        fixture.pooler.applyNodes(nodes);
        CHECK_FALSE(fixture.pooler.executesHere(fixture.group));
    }

    ZoneName zoneOfLast() const {
        return ZoneName(forwarder.sent.back().node.value().substr(0, 2));
    }
    void cut(const ZoneName& zone) {
        for (const ProxyNode& node : nodes) {
            if (node.zone == zone) {
                forwarder.unreachable.insert(node.name);
            }
        }
    }
    /** @return a session whose transaction another node in the north has opened. */
    SessionId openTransaction() {
        const SessionId session = fixture.session("current");
        fixture.submit(session, StatementVerb::Begin, "BEGIN");
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        CHECK_TRUE(zoneOfLast() == kNorthZone);
        fixture.pooler.onUnitResult(forwarder.sent.back().unit, inTransaction());
        return session;
    }
};

TEST(HomesAtNodes, AnExecutorInAHomeIsChosenAlthoughOneIsNearer) {
    homes.read();
    CHECK_TRUE(zoneOfLast() == kNorthZone);
    homes.bind({kSouth});
    homes.read();
    CHECK_TRUE(zoneOfLast() == kSouthZone);
}

TEST(HomesAtNodes, ThisNodeExecutesStatementsWithoutAReachableNodeInAHome) {
    homes.bind({kSouth});
    cut(kSouthZone);
    homes.read();
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtNodes, ADeclinedStatementStaysInAHome) {
    homes.bind({kSouth});
    homes.read();
    const std::size_t sent = forwarder.sent.size();
    for (std::size_t lost = 0; lost < sent; ++lost) {
        fixture.pooler.onUnitLost(forwarder.sent.back().unit, UnitLoss::NotTaken);
    }
    CHECK_TRUE(std::all_of(forwarder.sent.begin(), forwarder.sent.end(), [](const auto& unit) {
        return unit.node.value().starts_with(kSouthZone.value());
    }));
    CHECK(forwarder.sent.size() > sent || fixture.pendingCount() > 0);
}

TEST(HomesAtNodes, AReadWhoseExecutorIsLostIsRepeatedInAHome) {
    homes.bind({kSouth});
    homes.read();
    fixture.pooler.onUnitLost(forwarder.sent.back().unit, UnitLoss::Unanswered);
    CHECK_TRUE(zoneOfLast() == kSouthZone);
    CHECK_TRUE(homes.northUnused());
}

TEST(HomesAtNodes, AStatementOfATransactionIsNotShownToANodeThatHomesExclude) {
    const SessionId session = openTransaction();
    homes.bind({kSouth});
    const std::size_t sent = forwarder.sent.size();
    fixture.submit(session, StatementVerb::Write, "WRITE 2 b");
    UNSIGNED_LONGS_EQUAL(sent, forwarder.sent.size());
    homes.checkFault(StatementFault::Aborted);
    UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
}

TEST(HomesAtNodes, ACommitAtANodeThatHomesExcludeKeepsNothing) {
    const SessionId session = openTransaction();
    homes.bind({kSouth});
    const std::size_t sent = forwarder.sent.size();
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    UNSIGNED_LONGS_EQUAL(sent, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    homes.checkFault(StatementFault::Aborted);
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
}

TEST(HomesAtNodes, ATransactionAtANodeInANewHomeGoesOn) {
    const SessionId session = openTransaction();
    homes.bind({kNorth});
    const std::size_t sent = forwarder.sent.size();
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    UNSIGNED_LONGS_EQUAL(sent + 1, forwarder.sent.size());
}

TEST(HomesAtNodes, WithoutACommonHomeRegionNothingIsForwarded) {
    homes.tenantHomes = {kNorth};
    homes.bind({kSouth});
    homes.readAsTenant();
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    homes.checkMessage("not run (home_regions_disjoint); come back in 1000 ms");
}

TEST(HomesAtNodes, AnExecutorHandsOverToNodesInAHomeAlone) {
    fixture.pooler.applyNodes({{NodeName("z2-1"), kSouthZone, "10.0.0.1", 7000}});
    CHECK_TRUE(fixture.pooler.executesHere(fixture.group));
    homes.bind({kNorth});
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    fixture.advance(milliseconds(200));
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 2 a");
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
}

}  // namespace coralhoist::pooling
