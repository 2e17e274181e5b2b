/** Rendezvous hashing over nodes. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Identifier.h"

namespace coralhoist::pooling {

/** @return whether a node is chosen before another one; all nodes compute the same result. */
inline bool isChosenBefore(std::uint64_t rank, const NodeName& name, std::uint64_t otherRank,
                           const NodeName& otherName) {
    return rank != otherRank ? rank > otherRank : name < otherName;
}

/** A node and its rank for a key; nodes with the highest ranks are chosen. */
struct RankedNode {
    std::uint64_t rank = 0;
    NodeName name;

    bool isBefore(const RankedNode& other) const {
        return isChosenBefore(rank, name, other.rank, other.name);
    }
};

/** Ranks nodes for one key. */
class NodeRanking {
public:
    explicit NodeRanking(std::string key);

    /** @return the rank of the node for the key. */
    std::uint64_t rankOf(const NodeName& node);

    /** @return the `count` nodes that are chosen first, or all nodes if there are fewer, in order
     * of rank. */
    std::vector<RankedNode> first(const std::vector<NodeName>& nodes, std::size_t count);

private:
    /** The key, followed by the node that was ranked last. */
    std::string _text;
    std::size_t _keyLength;
};

/** @return the nodes in the order of their hashes with the key; all nodes compute the same order.
 */
std::vector<NodeName> rankedNodes(const std::string& key, const std::vector<NodeName>& nodes);

}  // namespace coralhoist::pooling
