#include "pooling/NodeRanking.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace coralhoist::pooling {
namespace {

/** A node and its rank for a key; the highest ranks are chosen. */
struct RankedNode {
    std::uint64_t rank = 0;
    NodeName name;
};

std::uint64_t rankOf(const std::string& key, const NodeName& node) {
    const std::string text = key + '\0' + node.value();
    return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::vector<NodeName> rankedNodes(const std::string& key, const std::vector<NodeName>& nodes) {
    std::vector<RankedNode> ranking;
    ranking.reserve(nodes.size());
    for (const NodeName& node : nodes) {
        ranking.push_back({rankOf(key, node), node});
    }
    std::sort(ranking.begin(), ranking.end(), [](const RankedNode& left, const RankedNode& right) {
        return left.rank != right.rank ? left.rank > right.rank : left.name < right.name;
    });
    std::vector<NodeName> result;
    result.reserve(ranking.size());
    for (const RankedNode& node : ranking) {
        result.push_back(node.name);
    }
    return result;
}

}  // namespace coralhoist::pooling
