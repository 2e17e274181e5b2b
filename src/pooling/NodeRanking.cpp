#include "pooling/NodeRanking.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace coralhoist::pooling {
namespace {

/** The rank of a node, and a pointer to its name in a list that outlives this entry. */
struct Entry {
    std::uint64_t rank = 0;
    const NodeName* name = nullptr;
};

bool isBefore(const Entry& left, const Entry& right) {
    return isChosenBefore(left.rank, *left.name, right.rank, *right.name);
}

}  // namespace

NodeRanking::NodeRanking(std::string key) : _text(std::move(key)) {
    _text += '\0';
    _keyLength = _text.size();
}

std::uint64_t NodeRanking::rankOf(const NodeName& node) {
    _text.resize(_keyLength);
    _text += node.value();
    return XXH3_64bits(_text.data(), _text.size());
}

std::vector<RankedNode> NodeRanking::first(const std::vector<NodeName>& nodes, std::size_t count) {
    std::vector<Entry> entries;
    entries.reserve(nodes.size());
    for (const NodeName& node : nodes) {
        entries.push_back({rankOf(node), &node});
    }
    const std::size_t kept = std::min(count, entries.size());
    const auto end = entries.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(entries.begin(), end, entries.end(), isBefore);
    std::vector<RankedNode> result;
    result.reserve(kept);
    std::transform(entries.begin(), end, std::back_inserter(result), [](const Entry& entry) {
        return RankedNode{entry.rank, *entry.name};
    });
    return result;
}

std::vector<NodeName> rankedNodes(const std::string& key, const std::vector<NodeName>& nodes) {
    std::vector<NodeName> result;
    result.reserve(nodes.size());
    for (RankedNode& node : NodeRanking(key).first(nodes, nodes.size())) {
        result.push_back(std::move(node.name));
    }
    return result;
}

}  // namespace coralhoist::pooling
