/** Which proxy nodes execute the statements of a group. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "locality/RegionMap.h"
#include "pooling/NodeRanking.h"

namespace coralhoist::pooling {

/** A proxy node as other nodes know it. */
struct ProxyNode {
    NodeName name;
    ZoneName zone;
    /** Address at which the node accepts forwarded units of work; port 0 when it is not known. */
    std::string host;
    std::uint16_t port = 0;
    /** Capacity for forwarding to other nodes: the rate of the node's link in kbit/s times its
     * share of a processor; 0 when the node does not report it. */
    std::uint32_t capacity = 0;

    bool operator==(const ProxyNode&) const = default;
};

/** The difference between two lists of nodes. */
struct NodeChanges {
    std::map<ZoneName, std::vector<NodeName>> joined;
    std::map<ZoneName, std::set<NodeName>> left;
};

/**
 * Rendezvous hashing over the nodes of each zone. A few executors share a server's connections, so
 * that the number of connections does not grow with the number of nodes; other nodes forward to the
 * executors. Nodes with the same view choose the same executors; only speed depends on that, not
 * correctness.
 */
class ExecutorPlacement {
public:
    /** @param executorsPerZone number of nodes in each zone that execute a group's statements. */
    ExecutorPlacement(NodeName self, ZoneName zone, std::uint32_t executorsPerZone);

    /** Sets the regions: executors of this node's region are asked before those of others. */
    void setRegions(const locality::RegionMap& regions);

    void setExecutorsPerZone(std::uint32_t executorsPerZone);

    /**
     * Replaces the known nodes. This node counts as known whether or not it is in the list. A node
     * that joins or leaves costs one check of each group; all nodes are ranked again only for
     * groups that lost an executor.
     * @return groups whose executors have changed.
     */
    std::vector<GroupName> applyNodes(const std::vector<ProxyNode>& nodes);

    /** @return whether this node is an executor of the group. */
    bool executesHere(const GroupName& group) const;

    /** @return the number of executors of the group; 1 at least. */
    std::size_t executorCount(const GroupName& group) const;

    /**
     * @return the other executors in the order in which this node asks them: those of its own zone
     * first, then those of its region. Different nodes start with different executors.
     */
    const std::vector<NodeName>& preferenceOf(const GroupName& group) const;

    /** @return the zone of a node; an empty name for an unknown node. */
    const ZoneName& zoneOf(const NodeName& node) const;

    /** @return the total number of node ranks that were computed for groups. */
    std::uint64_t ranksComputed() const { return _ranksComputed; }

private:
    struct Executors {
        /** The chosen nodes of each zone that has nodes, in the order of their ranks. */
        std::map<ZoneName, std::vector<RankedNode>> chosen;
        bool here = false;
        std::size_t count = 0;
        std::vector<NodeName> others;
    };

    NodeChanges replaceNodes(const std::vector<ProxyNode>& nodes);
    const Executors& executorsOf(const GroupName& group) const;
    Executors compute(const GroupName& group) const;
    std::vector<RankedNode> chooseIn(const ZoneName& zone, const GroupName& group) const;
    bool applyDepartures(const GroupName& group, Executors& executors,
                         const NodeChanges& changes) const;
    bool applyJoins(const GroupName& group, Executors& executors, const NodeChanges& changes) const;
    void arrange(const GroupName& group, Executors& executors) const;

    NodeName _self;
    ZoneName _zone;
    std::uint32_t _executorsPerZone;
    locality::RegionMap _regions;
    std::map<ZoneName, std::vector<NodeName>> _nodes;
    std::map<NodeName, ZoneName> _zones;
    ZoneName _unknownZone;
    mutable std::map<GroupName, Executors> _cache;
    mutable std::uint64_t _ranksComputed = 0;
};

}  // namespace coralhoist::pooling
