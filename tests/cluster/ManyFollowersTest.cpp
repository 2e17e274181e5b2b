/** What nodes ask the store for follows the number of readers, not that of nodes. */
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

#include "pooling/ReaderTree.h"
#include "tests/cluster/FollowerNetwork.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 3;

std::vector<pooling::ProxyNode> nodesOf(std::size_t count) {
    std::vector<pooling::ProxyNode> nodes;
    for (std::size_t index = 0; index < count; ++index) {
        nodes.push_back({NodeName("n" + std::to_string(index)),
                         ZoneName("z" + std::to_string(index % kZones)), "h", 1});
    }
    return nodes;
}

/** @return the node that reads the store for all others. */
std::size_t firstReaderOf(std::size_t count) {
    const std::vector<pooling::ProxyNode> nodes = nodesOf(count);
    for (std::size_t index = 0; index < count; ++index) {
        pooling::ReaderTree tree(nodes[index].name, nodes[index].zone);
        tree.applyNodes(nodes);
        if (tree.candidates().empty()) {
            return index;
        }
    }
    return count;
}

/** @return calls of the store in the first seconds in which the first reader can't reach it. */
std::size_t callsWhileTheFirstReaderIsLate(std::size_t count) {
    FollowerNetwork network(count, 1);
    network.run(seconds(5));
    const std::size_t before = network.storeCalls();
    network.setStoreTrouble(firstReaderOf(count), StoreTrouble::Busy);
    network.run(milliseconds(3500));
    STRCMP_EQUAL("", network.violations().c_str());
    return network.storeCalls() - before;
}

TEST_GROUP(ManyFollowers){};

/**
 * The nodes that it told would list all that the store holds at one moment, which keeps the store
 * too busy for the readers to catch up, and so goes on by itself.
 */
TEST(ManyFollowers, AFirstReaderThatIsLateDoesNotSendAllNodesToTheStore) {
    const std::size_t few = callsWhileTheFirstReaderIsLate(15);
    const std::size_t many = callsWhileTheFirstReaderIsLate(75);
    CHECK(many < few * 2);
}

}  // namespace
}  // namespace coralhoist::cluster
