/** The work of a node depends on the groups that it serves, not on the number of groups. */
#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "pooling/StatementPooler.h"
#include "tests/pooling/PoolerFixture.h"
#include "tests/pooling/ScriptedForwarder.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

constexpr int kFew = 20;
constexpr int kMany = 400;
constexpr Duration kRound = milliseconds(50);

GroupName groupName(int index) {
    return GroupName("estate" + std::to_string(index));
}

/** Adds groups to the fixture's own group, each with a primary and two replicas. */
class Estate {
public:
    explicit Estate(int groups) : _groups(groups) {
        fixture.pooler.setForwarder(forwarder);
        for (int index = 0; index < groups; ++index) {
            announce(groupName(index));
        }
        fixture.pooler.applyNodes(otherNodes());
    }

    /** Nodes of the own zone: each of them executes only a few groups. */
    static std::vector<ProxyNode> otherNodes() {
        constexpr int kNodes = 200;
        std::vector<ProxyNode> nodes;
        for (int index = 0; index < kNodes; ++index) {
            nodes.push_back({NodeName("other" + std::to_string(index)), ZoneName("z1"),
                             "10.0.0." + std::to_string(index), 7000});
        }
        return nodes;
    }

    void announce(const GroupName& group) {
        constexpr int kServers = 3;
        ServerDirectory::Servers servers;
        for (int index = 0; index < kServers; ++index) {
            ListedServer listed;
            ServerAnnouncement& announcement = listed.announcement;
            announcement.address.group = group;
            announcement.address.server = ServerName(group.value() + "-" + std::to_string(index));
            announcement.zone = ZoneName("z1");
            announcement.role = index == 0 ? ServerRole::Primary : ServerRole::Replica;
            announcement.version.revision = 1;
            servers[announcement.address.server] = listed;
        }
        fixture.pooler.applyServers(group, servers);
    }

    std::size_t executedHere() const {
        std::size_t count = fixture.pooler.executesHere(fixture.group) ? 1 : 0;
        for (int index = 0; index < _groups; ++index) {
            count += fixture.pooler.executesHere(groupName(index)) ? 1 : 0;
        }
        return count;
    }

    /** @return the number of group visits in the given time. */
    std::uint64_t visitsIn(Duration span) {
        const std::uint64_t before = fixture.pooler.statistics().groupsVisited;
        for (Duration passed{0}; passed < span; passed += kRound) {
            fixture.advance(kRound);
        }
        return fixture.pooler.statistics().groupsVisited - before;
    }

    ScriptedForwarder forwarder;
    PoolerFixture fixture;

private:
    int _groups;
};

TEST_GROUP(ManyGroups){};

TEST(ManyGroups, AnIdleNodeVisitsOnlyGroupsThatItExecutes) {
    for (const int groups : {kFew, kMany}) {
        Estate estate(groups);
        estate.visitsIn(std::chrono::seconds(30));
        estate.fixture.openConnections();
        UNSIGNED_LONGS_EQUAL(estate.executedHere(), estate.fixture.pooler.activeGroups());
        CHECK(estate.executedHere() < static_cast<std::size_t>(groups));
        UNSIGNED_LONGS_EQUAL(20 * estate.executedHere(), estate.visitsIn(kRound * 20));
    }
}

TEST(ManyGroups, AProofCostsNothingForGroupsThatNobodyUses) {
    for (const int groups : {kFew, kMany}) {
        Estate estate(groups);
        estate.visitsIn(kRound * 2);
        const std::uint64_t before = estate.fixture.pooler.statistics().groupsVisited;
        LeadershipProof proof;
        proof.provenAt = estate.fixture.clock.now();
        estate.fixture.pooler.applyProof(proof);
        UNSIGNED_LONGS_EQUAL(before, estate.fixture.pooler.statistics().groupsVisited);
    }
}

TEST(ManyGroups, AChangeOfOneGroupCausesOneVisitOfThatGroup) {
    for (const int groups : {kFew, kMany}) {
        Estate estate(groups);
        estate.visitsIn(kRound * 2);
        const std::uint64_t before = estate.fixture.pooler.statistics().groupsVisited;
        PromotionNotice notice;
        notice.version.revision = 7;
        estate.fixture.pooler.applyNotice(groupName(3), notice);
        UNSIGNED_LONGS_EQUAL(before + 1, estate.fixture.pooler.statistics().groupsVisited);
    }
}

/**
 * A group that this node does not execute; its executors are unreachable, so this node serves it.
 */
TEST_GROUP(GroupAtRest) {
    Estate estate{kFew};
    PoolerFixture& fixture = estate.fixture;
    GroupName group;

    void setup() override {
        for (int index = 0; index < kFew && group == GroupName(); ++index) {
            group = fixture.pooler.executesHere(groupName(index)) ? GroupName() : groupName(index);
        }
        CHECK_FALSE(group == GroupName());
        auto catalog = std::make_shared<ServiceCatalog>();
        settings::ServiceSettings service;
        service.statementTimeout = milliseconds(800);
        service.latencyObjective = milliseconds(200);
        catalog->services[ServiceName("here")] = {group, service};
        fixture.pooler.applyCatalog(catalog);
        for (const ProxyNode& node : Estate::otherNodes()) {
            estate.forwarder.unreachable.insert(node.name);
        }
        estate.visitsIn(std::chrono::seconds(30));
    }
    void read() {
        fixture.submit(fixture.session("here"), StatementVerb::Read, "READ 1");
    }
    void prove() {
        LeadershipProof proof;
        proof.provenAt = fixture.clock.now();
        fixture.pooler.applyProof(proof);
    }
};

TEST(GroupAtRest, TheFirstStatementTakesAProofThatCameBefore) {
    prove();
    read();
    UNSIGNED_LONGS_EQUAL(0, fixture.proofsWanted);
    CHECK_FALSE(fixture.connector.opening.empty());
}

TEST(GroupAtRest, AProofThatIsTooOldServesNoStatement) {
    prove();
    fixture.advance(kLeadershipLease + kRound);
    read();
    CHECK(fixture.proofsWanted > 0);
}

/** The record may belong to a promotion that came after the proof. */
TEST(GroupAtRest, AProofServesNoStatementOfAGroupWhoseRecordItDoesNotShow) {
    prove();
    PromotionNotice notice;
    notice.version.revision = 7;
    fixture.pooler.applyNotice(group, notice);
    read();
    CHECK(fixture.proofsWanted > 0);
}

TEST(GroupAtRest, AStatementReactivatesTheGroupUntilNothingIsLeft) {
    const std::size_t atRest = fixture.pooler.activeGroups();
    prove();
    read();
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(atRest + 1, fixture.pooler.activeGroups());
    fixture.succeed();
    estate.visitsIn(std::chrono::seconds(30));
    UNSIGNED_LONGS_EQUAL(atRest, fixture.pooler.activeGroups());
}

}  // namespace
}  // namespace coralhoist::pooling
