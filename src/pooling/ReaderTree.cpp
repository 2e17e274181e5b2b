#include "pooling/ReaderTree.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <map>
#include <utility>

#include "pooling/NodeRanking.h"

namespace coralhoist::pooling {
namespace {

/** A zone has one reader for this many nodes: each node asks up to about five times a second, and a
 * response costs the reader some 50 us of processor time. */
constexpr std::size_t kNodesPerReader = 32;
/** Number of nodes that a reader may ask: when one is lost, the reader asks another one and need
 * not read the store. */
constexpr std::size_t kCandidatesOfReader = 2;
constexpr const char* kZoneKey = "readers of a zone";
constexpr const char* kEstateKey = "readers of the estate";

std::size_t readersOf(std::size_t nodes) {
    return (nodes + kNodesPerReader - 1) / kNodesPerReader;
}

/** A node that may read for other nodes. */
struct Reader {
    NodeName name;
    /** The forwarding capacities within one class differ by less than a factor of four. */
    unsigned capacityClass = 0;
};
using Readers = std::vector<Reader>;

unsigned capacityClassOf(const ProxyNode& node) {
    return static_cast<unsigned>(std::bit_width(node.capacity)) / 2;
}

/** @return the nodes that rank first for the key, by class and then by hash. */
Readers firstReaders(const std::string& key, const Readers& nodes, std::size_t count) {
    struct Entry {
        RankedNode node;
        unsigned capacityClass = 0;
    };
    NodeRanking ranking(key);
    std::vector<Entry> entries;
    for (const Reader& reader : nodes) {
        entries.push_back({{ranking.rankOf(reader.name), reader.name}, reader.capacityClass});
    }
    std::sort(entries.begin(), entries.end(), [](const Entry& left, const Entry& right) {
        return left.capacityClass != right.capacityClass ? left.capacityClass > right.capacityClass
                                                         : left.node.isBefore(right.node);
    });
    entries.resize(std::min(count, entries.size()));
    Readers first;
    for (const Entry& entry : entries) {
        first.push_back({entry.node.name, entry.capacityClass});
    }
    return first;
}

/** @return the zone's nodes by rank, limited to its readers and the given number of spares that
 * substitute for them. */
Readers zoneReaders(const Readers& nodes, std::size_t spare) {
    return firstReaders(kZoneKey, nodes, readersOf(nodes.size()) + spare);
}

std::vector<NodeName> namesOf(const Readers& readers) {
    std::vector<NodeName> names;
    for (const Reader& reader : readers) {
        names.push_back(reader.name);
    }
    return names;
}

/** @return the readers that rank above this one, limited to the number that a reader may ask. */
std::vector<NodeName> rankedAbove(const NodeName& self, const Readers& readers) {
    std::vector<NodeName> ranked = namesOf(firstReaders(kEstateKey, readers, readers.size()));
    const auto own = std::find(ranked.begin(), ranked.end(), self);
    const auto above = static_cast<std::size_t>(own - ranked.begin());
    ranked.resize(std::min(above, kCandidatesOfReader));
    return ranked;
}

/**
 * @return the readers that this one asks: the readers of its region that rank above it; if it is
 * the first of its region, the first readers of other regions that rank above it.
 */
std::vector<NodeName> readersAbove(const Reader& self, const ZoneName& zone,
                                   const std::map<ZoneName, Readers>& zones,
                                   const locality::RegionMap& regions) {
    const bool hasRegions = regions.hasSeveralRegions();
    Readers own;
    std::map<RegionName, Readers> others;
    for (const auto& [name, nodes] : zones) {
        const Readers chosen = zoneReaders(nodes, 0);
        const bool isOwn = !hasRegions || regions.areInOneRegion(zone, name);
        Readers& readers = isOwn ? own : others[regions.regionOf(name)];
        readers.insert(readers.end(), chosen.begin(), chosen.end());
    }
    std::vector<NodeName> above = rankedAbove(self.name, own);
    if (!above.empty()) {
        return above;
    }
    Readers firsts{self};
    for (const auto& [region, readers] : others) {
        firsts.push_back(firstReaders(kEstateKey, readers, 1).front());
    }
    return rankedAbove(self.name, firsts);
}

/** @return the zone's readers in an order that depends on the name of this node, so that different
 * nodes ask different readers first; the spare follows. */
std::vector<NodeName> readersFor(const NodeName& self, const Readers& readers,
                                 const Readers& withSpare) {
    std::vector<NodeName> candidates = rankedNodes(self.value(), namesOf(readers));
    if (withSpare.size() > readers.size() && withSpare.back().name != self) {
        candidates.push_back(withSpare.back().name);
    }
    return candidates;
}

/** @return how many of the nodes rank before the given one in the group's order. */
template <typename Nodes>
std::size_t rankedBefore(const GroupName& group, const NodeName& self, const Nodes& nodes) {
    NodeRanking ranking(group.value());
    const std::uint64_t own = ranking.rankOf(self);
    const auto before = std::count_if(nodes.begin(), nodes.end(), [&](const NodeName& name) {
        return isChosenBefore(ranking.rankOf(name), name, own, self);
    });
    return static_cast<std::size_t>(before);
}

}  // namespace

ReaderTree::ReaderTree(NodeName self, ZoneName zone, locality::RegionMap regions)
    : _self(std::move(self)), _zone(std::move(zone)), _regions(std::move(regions)), _nodes{_self} {}

void ReaderTree::applyNodes(const std::vector<ProxyNode>& nodes) {
    std::map<ZoneName, Readers> zones;
    _knowsNodes = true;
    Reader self{_self, 0};
    const std::set<NodeName> before = std::exchange(_nodes, {_self});
    for (const ProxyNode& node : nodes) {
        if (node.name == _self) {
            self.capacityClass = capacityClassOf(node);
        } else if (node.port != 0) {
            zones[node.zone].push_back({node.name, capacityClassOf(node)});
            _nodes.insert(node.name);
        }
    }
    zones[_zone].push_back(self);
    std::vector<NodeName> joined;
    std::vector<NodeName> left;
    std::set_difference(_nodes.begin(), _nodes.end(), before.begin(), before.end(),
                        std::back_inserter(joined));
    std::set_difference(before.begin(), before.end(), _nodes.begin(), _nodes.end(),
                        std::back_inserter(left));
    updateTurns(joined, left);
    const Readers readers = zoneReaders(zones[_zone], 0);
    const Readers withSpare = zoneReaders(zones[_zone], 1);
    const auto isSelf = [this](const Reader& node) { return node.name == _self; };
    _isAskedByOthers = std::any_of(withSpare.begin(), withSpare.end(), isSelf);
    _candidates = std::any_of(readers.begin(), readers.end(), isSelf)
                      ? readersAbove(self, _zone, zones, _regions)
                      : readersFor(_self, readers, withSpare);
}

void ReaderTree::updateTurns(const std::vector<NodeName>& joined,
                             const std::vector<NodeName>& left) {
    for (auto& [group, turn] : _turns) {
        turn += rankedBefore(group, _self, joined);
        turn -= rankedBefore(group, _self, left);
    }
}

std::size_t ReaderTree::turnOf(const GroupName& group) const {
    const auto [turn, added] = _turns.try_emplace(group, 0);
    if (added) {
        turn->second = rankedBefore(group, _self, _nodes);
    }
    return turn->second;
}

}  // namespace coralhoist::pooling
