#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pooling/ExecutorPlacement.h"

namespace coralhoist::pooling {
namespace {

constexpr int kZones = 3;
constexpr std::uint16_t kPort = 7433;

ProxyNode node(int index) {
    return {NodeName("n" + std::to_string(index)), ZoneName("z" + std::to_string(index % kZones)),
            "10.0.0." + std::to_string(index), kPort};
}

std::vector<ProxyNode> nodes(int count) {
    std::vector<ProxyNode> result;
    for (int index = 0; index < count; ++index) {
        result.push_back(node(index));
    }
    return result;
}

ExecutorPlacement placementOf(int self, const std::vector<ProxyNode>& view) {
    ExecutorPlacement placement(node(self).name, node(self).zone, 2);
    placement.applyNodes(view);
    return placement;
}

/** @return the nodes that consider themselves executors. */
std::set<int> executors(const GroupName& group, int count) {
    std::set<int> result;
    for (int index = 0; index < count; ++index) {
        if (placementOf(index, nodes(count)).executesHere(group)) {
            result.insert(index);
        }
    }
    return result;
}

TEST_GROUP(ExecutorPlacement) {
    GroupName group{"ledger"};
};

TEST(ExecutorPlacement, AllNodesOfASmallClusterExecute) {
    UNSIGNED_LONGS_EQUAL(6, executors(group, 6).size());
    UNSIGNED_LONGS_EQUAL(6, placementOf(0, nodes(6)).executorCount(group));
}

TEST(ExecutorPlacement, ANodeAloneExecutes) {
    CHECK_TRUE(placementOf(0, {}).executesHere(group));
    UNSIGNED_LONGS_EQUAL(1, placementOf(0, {}).executorCount(group));
    CHECK_TRUE(placementOf(0, {}).preferenceOf(group).empty());
}

TEST(ExecutorPlacement, TheNumberOfExecutorsDoesNotGrowWithTheNodes) {
    const std::set<int> chosen = executors(group, 60);
    UNSIGNED_LONGS_EQUAL(6, chosen.size());
    for (int zone = 0; zone < kZones; ++zone) {
        LONGS_EQUAL(2, std::count_if(chosen.begin(), chosen.end(),
                                     [zone](int index) { return index % kZones == zone; }));
    }
}

TEST(ExecutorPlacement, EveryNodeForwardsToNodesThatConsiderThemselvesExecutors) {
    const std::set<int> chosen = executors(group, 60);
    for (int index = 0; index < 60; ++index) {
        const ExecutorPlacement placement = placementOf(index, nodes(60));
        UNSIGNED_LONGS_EQUAL(chosen.contains(index) ? 5 : 6, placement.preferenceOf(group).size());
        for (const NodeName& name : placement.preferenceOf(group)) {
            CHECK_TRUE(chosen.contains(std::stoi(name.value().substr(1))));
        }
    }
}

TEST(ExecutorPlacement, ExecutorsOfTheOwnZoneComeFirstAndShareTheLoad) {
    const std::set<int> chosen = executors(group, 60);
    std::map<NodeName, int> firstChoices;
    for (int index = 0; index < 60; index += kZones) {
        if (chosen.contains(index)) {
            continue;
        }
        const ExecutorPlacement placement = placementOf(index, nodes(60));
        const std::vector<NodeName>& preference = placement.preferenceOf(group);
        for (std::size_t rank = 0; rank < 2; ++rank) {
            LONGS_EQUAL(0, std::stoi(preference[rank].value().substr(1)) % kZones);
        }
        ++firstChoices[preference.front()];
    }
    UNSIGNED_LONGS_EQUAL(2, firstChoices.size());
    for (const auto& [name, count] : firstChoices) {
        CHECK(count >= 3);
    }
}

TEST(ExecutorPlacement, ExecutorsOfTheOwnRegionComeBeforeThoseOfOthers) {
    const locality::RegionMap regions{{{ZoneName("z0"), RegionName("north")},
                                       {ZoneName("z1"), RegionName("south")},
                                       {ZoneName("z2"), RegionName("north")}}};
    for (int index = 0; index < 60; ++index) {
        ExecutorPlacement placement = placementOf(index, nodes(60));
        const std::size_t executors = placement.executorCount(group);
        placement.setRegions(regions);
        UNSIGNED_LONGS_EQUAL(executors, placement.executorCount(group));
        int distance = 0;
        for (const NodeName& name : placement.preferenceOf(group)) {
            const ZoneName& zone = placement.zoneOf(name);
            const bool isRegional = regions.areInOneRegion(node(index).zone, zone);
            const int next = zone == node(index).zone ? 0 : (isRegional ? 1 : 2);
            CHECK(next >= distance);
            distance = next;
        }
    }
}

TEST(ExecutorPlacement, OneRegionOrNoneChangesNothing) {
    const locality::RegionMap one{{{ZoneName("z0"), RegionName("north")},
                                   {ZoneName("z1"), RegionName("north")},
                                   {ZoneName("z2"), RegionName("north")}}};
    for (int index = 0; index < 60; ++index) {
        ExecutorPlacement placement = placementOf(index, nodes(60));
        const std::vector<NodeName> before = placement.preferenceOf(group);
        placement.setRegions(one);
        CHECK_TRUE(placement.preferenceOf(group) == before);
    }
}

TEST(ExecutorPlacement, TheLossOfANodeMovesOnlyItsOwnGroups) {
    const std::vector<ProxyNode> all = nodes(60);
    std::vector<ProxyNode> fewer = all;
    fewer.pop_back();
    int moved = 0;
    constexpr int kGroups = 200;
    for (int index = 0; index < kGroups; ++index) {
        const GroupName name("g" + std::to_string(index));
        const bool wasExecutor = placementOf(59, all).executesHere(name);
        for (int other = 2; other < 59; other += kZones) {
            const bool before = placementOf(other, all).executesHere(name);
            const bool after = placementOf(other, fewer).executesHere(name);
            CHECK_TRUE(before == after || (wasExecutor && after));
            moved += before == after ? 0 : 1;
        }
    }
    CHECK(moved > 0);
    CHECK(moved < kGroups / 4);
}

TEST(ExecutorPlacement, ANodeWithoutAnAddressIsNoExecutor) {
    std::vector<ProxyNode> view = nodes(2);
    view[1].port = 0;
    UNSIGNED_LONGS_EQUAL(1, placementOf(0, view).executorCount(group));
}

constexpr int kManyGroups = 300;

GroupName numbered(int index) {
    return GroupName("g" + std::to_string(index));
}

/** Nodes join and leave; some keep their names but change zones. */
TEST(ExecutorPlacement, IncrementalChangesGiveTheSameExecutorsAsARestart) {
    const std::vector<ProxyNode> all = nodes(90);
    ExecutorPlacement following(node(0).name, node(0).zone, 2);
    for (int step = 0; step < 40; ++step) {
        std::vector<ProxyNode> view;
        for (int index = 0; index < 90; ++index) {
            if ((index * 7 + step * 13) % 10 < 6) {
                view.push_back(all[static_cast<std::size_t>(index)]);
                view.back().zone = (index + step) % 17 == 0 ? ZoneName("z9") : view.back().zone;
            }
        }
        std::map<GroupName, std::vector<NodeName>> before;
        for (int index = 0; index < 50; ++index) {
            before[numbered(index)] = following.preferenceOf(numbered(index));
        }
        const std::vector<GroupName> changed = following.applyNodes(view);
        const ExecutorPlacement fresh = placementOf(0, view);
        for (int index = 0; index < 50; ++index) {
            const GroupName name = numbered(index);
            CHECK_TRUE(following.preferenceOf(name) == fresh.preferenceOf(name));
            CHECK_TRUE(following.executesHere(name) == fresh.executesHere(name));
            UNSIGNED_LONGS_EQUAL(fresh.executorCount(name), following.executorCount(name));
            const bool isTold = std::find(changed.begin(), changed.end(), name) != changed.end();
            CHECK_TRUE(isTold || before[name] == following.preferenceOf(name));
        }
    }
}

/** @return the number of ranks computed when one node joins and leaves again. */
std::uint64_t workOfOneChange(int count) {
    ExecutorPlacement placement = placementOf(0, nodes(count));
    for (int index = 0; index < kManyGroups; ++index) {
        placement.executesHere(numbered(index));
    }
    const std::uint64_t before = placement.ranksComputed();
    placement.applyNodes(nodes(count + 1));
    const std::uint64_t joined = placement.ranksComputed();
    UNSIGNED_LONGS_EQUAL(kManyGroups, joined - before);
    const std::size_t lost = placement.applyNodes(nodes(count)).size();
    // Only the groups that the node executed are ranked again, and only in its zone.
    CHECK(placement.ranksComputed() - joined <=
          lost * (static_cast<std::size_t>(count) / kZones + 1));
    return placement.ranksComputed() - before;
}

TEST(ExecutorPlacement, OneNodeThatJoinsAndLeavesCostsNoMoreAmongMany) {
    const std::uint64_t few = workOfOneChange(60);
    const std::uint64_t many = workOfOneChange(960);
    // Among many nodes, each node executes fewer groups, but each group is ranked among more nodes.
    CHECK(many < few * 2);
}

}  // namespace
}  // namespace coralhoist::pooling
