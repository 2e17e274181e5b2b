#include "pooling/ReaderTree.h"

#include <algorithm>
#include <map>
#include <utility>

#include "pooling/NodeRanking.h"

namespace coralhoist::pooling {
namespace {

/** A zone has one reader for so many nodes: each of them asks up to about five times a second, and
 * an answer costs a node some 50 us of processor time (measured on the users' bench). */
constexpr std::size_t kNodesPerReader = 32;
/** Nodes that a reader may ask, so that the loss of one is bridged without the store. */
constexpr std::size_t kCandidatesOfReader = 2;
constexpr const char* kZoneKey = "readers of a zone";
constexpr const char* kEstateKey = "readers of the estate";

std::size_t readersOf(std::size_t nodes) {
    return (nodes + kNodesPerReader - 1) / kNodesPerReader;
}

/** @return the zone's nodes by rank, cut to its readers and one more that stands in for them. */
std::vector<NodeName> zoneReaders(const std::vector<NodeName>& nodes, std::size_t spare) {
    std::vector<NodeName> ranked = rankedNodes(kZoneKey, nodes);
    ranked.resize(std::min(ranked.size(), readersOf(nodes.size()) + spare));
    return ranked;
}

/** @return those that rank above this one, cut to what a reader may ask. */
std::vector<NodeName> rankedAbove(const NodeName& self, const std::vector<NodeName>& readers) {
    std::vector<NodeName> ranked = rankedNodes(kEstateKey, readers);
    const auto own = std::find(ranked.begin(), ranked.end(), self);
    const auto above = static_cast<std::size_t>(own - ranked.begin());
    ranked.resize(std::min(above, kCandidatesOfReader));
    return ranked;
}

/**
 * @return the readers that this one asks: those of its region that rank above it; if it is the
 * region's first, the firsts of other regions that rank above it.
 */
std::vector<NodeName> readersAbove(const NodeName& self, const ZoneName& zone,
                                   const std::map<ZoneName, std::vector<NodeName>>& zones,
                                   const locality::RegionMap& regions) {
    const bool hasRegions = regions.hasSeveralRegions();
    std::vector<NodeName> own;
    std::map<RegionName, std::vector<NodeName>> others;
    for (const auto& [name, nodes] : zones) {
        const std::vector<NodeName> chosen = zoneReaders(nodes, 0);
        const bool isOwn = !hasRegions || regions.areInOneRegion(zone, name);
        std::vector<NodeName>& readers = isOwn ? own : others[regions.regionOf(name)];
        readers.insert(readers.end(), chosen.begin(), chosen.end());
    }
    std::vector<NodeName> above = rankedAbove(self, own);
    if (!above.empty()) {
        return above;
    }
    std::vector<NodeName> firsts{self};
    for (const auto& [region, readers] : others) {
        firsts.push_back(rankedNodes(kEstateKey, readers).front());
    }
    return rankedAbove(self, firsts);
}

/** @return the zone's readers, different nodes beginning with different ones, then the stand-in. */
std::vector<NodeName> readersFor(const NodeName& self, const std::vector<NodeName>& readers,
                                 const std::vector<NodeName>& withSpare) {
    std::vector<NodeName> candidates = rankedNodes(self.value(), readers);
    if (withSpare.size() > readers.size() && withSpare.back() != self) {
        candidates.push_back(withSpare.back());
    }
    return candidates;
}

}  // namespace

ReaderTree::ReaderTree(NodeName self, ZoneName zone, locality::RegionMap regions)
    : _self(std::move(self)), _zone(std::move(zone)), _regions(std::move(regions)), _nodes{_self} {}

void ReaderTree::applyNodes(const std::vector<ProxyNode>& nodes) {
    std::map<ZoneName, std::vector<NodeName>> zones;
    zones[_zone].push_back(_self);
    _nodes = {_self};
    _turns.clear();
    for (const ProxyNode& node : nodes) {
        if (node.name != _self && node.port != 0) {
            zones[node.zone].push_back(node.name);
            _nodes.push_back(node.name);
        }
    }
    const std::vector<NodeName> readers = zoneReaders(zones[_zone], 0);
    const bool ranksFirst = std::find(readers.begin(), readers.end(), _self) != readers.end();
    _candidates = ranksFirst ? readersAbove(_self, _zone, zones, _regions)
                             : readersFor(_self, readers, zoneReaders(zones[_zone], 1));
}

std::size_t ReaderTree::turnOf(const GroupName& group) const {
    const auto [turn, added] = _turns.try_emplace(group, 0);
    if (added) {
        const std::vector<NodeName> ranked = rankedNodes(group.value(), _nodes);
        const auto own = std::find(ranked.begin(), ranked.end(), _self);
        turn->second = static_cast<std::size_t>(own - ranked.begin());
    }
    return turn->second;
}

}  // namespace coralhoist::pooling
