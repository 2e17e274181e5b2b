/** Rendezvous hashing over nodes. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Identifier.h"

namespace coralhoist::pooling {

/** A node and its rank for a key; the highest ranks are chosen. */
struct RankedNode {
    std::uint64_t rank = 0;
    NodeName name;

    /** @return whether this node is chosen before the other one; all nodes agree on that. */
    bool isBefore(const RankedNode& other) const {
        return rank != other.rank ? rank > other.rank : name < other.name;
    }
};

/** Ranks nodes for one key. */
class NodeRanking {
public:
    explicit NodeRanking(std::string key);

    /** @return the rank of the node for the key. */
    std::uint64_t rankOf(const NodeName& node);

    /** @return the nodes that are chosen first, in their order, at most so many. */
    std::vector<RankedNode> first(const std::vector<NodeName>& nodes, std::size_t count);

private:
    /** The key, and behind it the node that was ranked last. */
    std::string _text;
    std::size_t _keyLength;
};

/** @return the nodes in the order of their hashes with the key, which all nodes agree on. */
std::vector<NodeName> rankedNodes(const std::string& key, const std::vector<NodeName>& nodes);

}  // namespace coralhoist::pooling
