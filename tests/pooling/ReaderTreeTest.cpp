#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <vector>

#include "pooling/ReaderTree.h"

namespace coralhoist::pooling {
namespace {

constexpr int kZones = 3;
constexpr std::uint16_t kPort = 7433;

std::vector<ProxyNode> nodes(int count, int step) {
    std::vector<ProxyNode> result;
    for (int index = 0; index < count; ++index) {
        if ((index * 7 + step * 13) % 10 < 6) {
            result.push_back({NodeName("n" + std::to_string(index)),
                              ZoneName("z" + std::to_string(index % kZones)), "10.0.0.1", kPort});
        }
    }
    return result;
}

TEST_GROUP(ReaderTree){};

TEST(ReaderTree, IncrementalChangesGiveTheSameTurnsAsARestart) {
    constexpr int kNodes = 90;
    constexpr int kGroups = 40;
    constexpr int kSteps = 20;
    ReaderTree following(NodeName("n1"), ZoneName("z1"));
    for (int step = 0; step < kSteps; ++step) {
        const std::vector<ProxyNode> view = nodes(kNodes, step);
        following.applyNodes(view);
        ReaderTree fresh(NodeName("n1"), ZoneName("z1"));
        fresh.applyNodes(view);
        CHECK_TRUE(following.candidates() == fresh.candidates());
        for (int index = 0; index < kGroups; ++index) {
            const GroupName group("g" + std::to_string(index));
            UNSIGNED_LONGS_EQUAL(fresh.turnOf(group), following.turnOf(group));
        }
    }
}

/** Capacities of a node with a link of 20 Mbit/s and a tenth of a processor, and of one with a link
 * of 1,000 Mbit/s and a whole processor. */
constexpr std::uint32_t kPlain = 2400;
constexpr std::uint32_t kLarge = 1'000'000;

/** The first twentieth of each zone's nodes is large. */
std::vector<ProxyNode> estate(int count) {
    std::vector<ProxyNode> result;
    for (int index = 0; index < count; ++index) {
        result.push_back({NodeName("n" + std::to_string(index)),
                          ZoneName("z" + std::to_string(index % kZones)), "10.0.0.1", kPort,
                          index < count / 20 ? kLarge : kPlain});
    }
    return result;
}

/** @return for each node, the number of nodes that have it as their first candidate to ask. */
std::map<NodeName, std::size_t> askersOf(const std::vector<ProxyNode>& nodes) {
    std::map<NodeName, std::size_t> askers;
    for (const ProxyNode& node : nodes) {
        ReaderTree tree(node.name, node.zone);
        tree.applyNodes(nodes);
        if (!tree.candidates().empty()) {
            ++askers[tree.candidates().front()];
        }
    }
    return askers;
}

/** A reader's link carries the store's whole content once for each node that asks it. */
TEST(ReaderTree, NodesWithMoreForwardingCapacityReadForOthers) {
    for (const int count : {120, 480}) {
        const std::vector<ProxyNode> nodes = estate(count);
        for (const auto& [name, askers] : askersOf(nodes)) {
            CHECK_TRUE(std::stoi(name.value().substr(1)) < count / 20);
            CHECK(askers <= 64);
        }
    }
}

TEST(ReaderTree, WithoutLargeNodesPlainOnesRead) {
    std::vector<ProxyNode> nodes = estate(120);
    nodes.erase(nodes.begin(), nodes.begin() + 6);
    UNSIGNED_LONGS_EQUAL(119, [&nodes] {
        std::size_t asking = 0;
        for (const auto& [name, askers] : askersOf(nodes)) {
            asking += askers;
        }
        return asking + 6;
    }());
}

}  // namespace
}  // namespace coralhoist::pooling
