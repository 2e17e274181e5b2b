/**
 * Work across several regions: nearby servers are preferred, and statements in transit occupy no
 * slot.
 */
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

#include "PoolerFixture.h"
#include "pooling/ReaderTree.h"
#include "pooling/ServerRoundTrip.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

constexpr int kZones = 6;
constexpr int kNodesPerZone = 5;

/** Zones z0, z2 and z4 are in the north, the others in the south. */
locality::RegionMap sixZones() {
    std::map<ZoneName, RegionName> zones;
    for (int zone = 0; zone < kZones; ++zone) {
        zones.emplace("z" + std::to_string(zone), zone % 2 == 0 ? "north" : "south");
    }
    return locality::RegionMap(zones);
}

std::vector<ProxyNode> sixZonesNodes() {
    std::vector<ProxyNode> nodes;
    for (int index = 0; index < kZones * kNodesPerZone; ++index) {
        nodes.push_back({NodeName("n" + std::to_string(index)),
                         ZoneName("z" + std::to_string(index % kZones)), "10.0.0.1", 7433});
    }
    return nodes;
}

std::vector<NodeName> candidatesOf(const ProxyNode& self, const std::vector<ProxyNode>& nodes,
                                   const locality::RegionMap& regions) {
    ReaderTree tree(self.name, self.zone, regions);
    tree.applyNodes(nodes);
    return tree.candidates();
}

/** A forwarder that accepts no unit. */
class NoForwarder final : public UnitForwarder {
public:
    bool canReach(const NodeName& /*node*/) const override { return false; }
    void open(UnitId /*unit*/, const NodeName& /*node*/, const UnitOpening& /*opening*/,
              const UnitStatement& /*statement*/) override {}
    void submit(UnitId /*unit*/, const UnitStatement& /*statement*/) override {}
    void end(UnitId /*unit*/) override {}
};

}  // namespace

TEST_GROUP(ReaderTreeRegions) {
    const std::vector<ProxyNode> nodes = sixZonesNodes();
    const locality::RegionMap regions = sixZones();

    const ZoneName& zoneOf(const NodeName& name) const {
        return std::find_if(nodes.begin(), nodes.end(),
                            [&](const ProxyNode& node) { return node.name == name; })
            ->zone;
    }
};

TEST(ReaderTreeRegions, OneNodeReadsTheStoreAndOneAsksInAnotherRegion) {
    std::size_t readers = 0;
    std::size_t crossing = 0;
    for (const ProxyNode& self : nodes) {
        const std::vector<NodeName> candidates = candidatesOf(self, nodes, regions);
        readers += candidates.empty() ? 1 : 0;
        crossing += std::any_of(candidates.begin(), candidates.end(),
                                [&](const NodeName& name) {
                                    return !regions.areInOneRegion(self.zone, zoneOf(name));
                                })
                        ? 1
                        : 0;
    }
    UNSIGNED_LONGS_EQUAL(1, readers);
    UNSIGNED_LONGS_EQUAL(1, crossing);
}

TEST(ReaderTreeRegions, WhenTheFirstNodeOfARegionIsLostAnotherOneAsksAcross) {
    for (const ProxyNode& self : nodes) {
        std::vector<NodeName> candidates = candidatesOf(self, nodes, regions);
        if (!candidates.empty()) {
            continue;
        }
        std::vector<ProxyNode> fewer = nodes;
        std::erase_if(fewer, [&](const ProxyNode& node) { return node.name == self.name; });
        const auto withoutSource = std::count_if(
            fewer.begin(), fewer.end(),
            [&](const ProxyNode& node) { return candidatesOf(node, fewer, regions).empty(); });
        LONGS_EQUAL(1, withoutSource);
    }
}

TEST(ReaderTreeRegions, OneRegionChangesNothing) {
    std::map<ZoneName, RegionName> zones;
    for (int zone = 0; zone < kZones; ++zone) {
        zones.emplace("z" + std::to_string(zone), "north");
    }
    const locality::RegionMap one(zones);
    for (const ProxyNode& self : nodes) {
        CHECK_TRUE(candidatesOf(self, nodes, one) ==
                   candidatesOf(self, nodes, locality::RegionMap()));
    }
}

TEST_GROUP(ServerRoundTrip){};

TEST(ServerRoundTrip, AWayWithinTheRegionChangesNothing) {
    const ServerRoundTrip way;
    CHECK_TRUE(way.atServer(milliseconds(33)) == milliseconds(33));
    DOUBLES_EQUAL(1, way.inflightPerRunning(milliseconds(33)), 0);
    DOUBLES_EQUAL(1, way.inflightPerRunning(Duration(0)), 0);
}

TEST(ServerRoundTrip, StatementsInTransitAreInFlightButOccupyNoSlot) {
    const ServerRoundTrip way{milliseconds(60)};
    CHECK_TRUE(way.atServer(milliseconds(90)) == milliseconds(30));
    CHECK_TRUE(way.atServer(milliseconds(50)) == Duration(0));
    DOUBLES_EQUAL(3, way.inflightPerRunning(milliseconds(30)), 0.001);
    DOUBLES_EQUAL(5, way.inflightPerRunning(Duration(0)), 0.001);
}

/**
 * Server s1 is the primary, in this node's own zone "z1"; s2 and s3 are replicas in "z2" and "z3".
 */
TEST_GROUP(PoolerRegions) {
    PoolerFixture fixture;
    const locality::RegionMap regions{{{ZoneName("z1"), RegionName("north")},
                                       {ZoneName("z2"), RegionName("south")},
                                       {ZoneName("z3"), RegionName("north")}}};
    locality::PlaceDistances distances{regions, ZoneName("z1")};
    std::vector<SessionId> readers;

    void watchRegions(Duration roundTrip) {
        distances.note(ZoneName("z2"), roundTrip, fixture.clock.now());
        fixture.pooler.setRegions(regions, distances);
    }

    /**
     * Occupies the primary, which is in the own zone, with unanswered writes, so that it has no
     * capacity for reads.
     */
    void saturatePrimary() {
        for (int index = 0; index < 4; ++index) {
            fixture.submit(fixture.session("bounded"), StatementVerb::Write, "WRITE 1 a");
            fixture.openConnections();
        }
    }

    std::size_t readsAt(const std::string& server) {
        std::size_t count = 0;
        for (const SentCommand& sent : fixture.connector.sent) {
            const bool isRead = sent.command.text.starts_with("READ");
            count += isRead && sent.server == ServerName(server) ? 1 : 0;
        }
        return count;
    }

    /** Opens sessions whose commits all replicas have. */
    void commit(int sessions) {
        for (int index = 0; index < sessions; ++index) {
            readers.push_back(fixture.session("own"));
            fixture.submit(readers.back(), StatementVerb::Write, "WRITE 1 a");
            fixture.succeed({1, 1});
        }
        fixture.advance(milliseconds(50));
    }

    void read() {
        for (const SessionId session : readers) {
            fixture.submit(session, StatementVerb::Read, "READ 1");
            fixture.openConnections();
        }
    }
};

TEST(PoolerRegions, AReadGoesToAnotherZoneBeforeAnotherRegion) {
    watchRegions(milliseconds(60));
    commit(2);
    saturatePrimary();
    read();
    UNSIGNED_LONGS_EQUAL(2, readsAt("s3"));
    UNSIGNED_LONGS_EQUAL(0, readsAt("s2"));
}

TEST(PoolerRegions, AReadGoesToAnotherRegionWhenTheOwnRegionHasNoCapacity) {
    watchRegions(milliseconds(60));
    commit(12);
    saturatePrimary();
    read();
    CHECK_TRUE(readsAt("s2") > 0);
    CHECK_TRUE(readsAt("s3") > 0);
}

/** The primary's limit has grown to its maximum, and the load exceeds the primary's capacity. */
TEST(PoolerRegions, TheLimitOfARemotePrimaryIncludesStatementsInTransit) {
    const auto inFlightAt = [](Duration roundTrip) {
        PoolerFixture far;
        const locality::RegionMap places{
            {{ZoneName("z1"), RegionName("south")}, {ZoneName("z2"), RegionName("north")}}};
        locality::PlaceDistances measured(places, ZoneName("z2"));
        measured.note(ZoneName("z1"), roundTrip, far.clock.now());
        if (roundTrip > Duration(0)) {
            far.pooler.setRegions(places, measured);
        }
        for (int index = 0; index < 100; ++index) {
            far.submit(far.session("own"), StatementVerb::Write, "WRITE 1 a");
            far.openConnections();
            far.clock.advance(milliseconds(65));
            far.pooler.confirmLeadership(far.group, far.clock.now());
            far.succeed();
        }
        for (int index = 0; index < 10; ++index) {
            far.submit(far.session("own"), StatementVerb::Write, "WRITE 1 a");
            far.openConnections();
        }
        return far.pendingCount();
    };
    UNSIGNED_LONGS_EQUAL(4, inFlightAt(Duration(0)));
    UNSIGNED_LONGS_EQUAL(10, inFlightAt(milliseconds(50)));
}

TEST(PoolerRegions, AZoneHasOneExecutorWhereThereAreSeveralRegions) {
    const std::vector<ProxyNode> nodes = sixZonesNodes();
    std::size_t before = 0;
    std::size_t after = 0;
    for (const ProxyNode& self : nodes) {
        PoolerKnobs knobs;
        knobs.node = self.name;
        knobs.zone = self.zone;
        StatementPooler pooler(fixture.clock, fixture.connector, fixture, knobs);
        NoForwarder forwarder;
        pooler.setForwarder(forwarder);
        pooler.applyNodes(nodes);
        before += pooler.executesHere(fixture.group) ? 1 : 0;
        const locality::RegionMap zones = sixZones();
        const locality::PlaceDistances own(zones, self.zone);
        pooler.setRegions(zones, own);
        pooler.setCallersHaveTenants(false);
        after += pooler.executesHere(fixture.group) ? 1 : 0;
    }
    UNSIGNED_LONGS_EQUAL(2 * kZones, before);
    UNSIGNED_LONGS_EQUAL(kZones, after);
}

}  // namespace coralhoist::pooling
