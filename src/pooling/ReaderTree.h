/** Which nodes a node asks for what the store holds before it asks the store itself. */
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "base/Identifier.h"
#include "locality/RegionMap.h"
#include "pooling/ExecutorPlacement.h"

namespace coralhoist::pooling {

/**
 * A tree of readers: the nodes of a zone ask one of the zone's readers, the zones' readers ask the
 * one that ranks first among them, and that one reads the store. Nodes that can pass on several
 * times as much rank before others: a reader sends all that the store holds to each of its askers,
 * and in a large estate a small link can't carry that in time. Where there are several regions, the
 * zones' readers ask the first of their own region, and only that one asks the first of another
 * region: what the store holds crosses to a region once. Nodes with the same view form the same
 * tree; nodes with different views may ask each other in a circle, which their patience ends.
 */
class ReaderTree {
public:
    ReaderTree(NodeName self, ZoneName zone, locality::RegionMap regions = {});

    /** Replaces the nodes that are known. This node counts whether it is among them or not. */
    void applyNodes(const std::vector<ProxyNode>& nodes);

    /** @return the nodes to ask, the preferred one first; none when this node reads the store. */
    const std::vector<NodeName>& candidates() const { return _candidates; }

    /** @return whether nodes were applied: before, this one alone seems to be there. */
    bool knowsNodes() const { return _knowsNodes; }

    /** @return whether nodes of its zone turn to this one: a reader, or the one that stands in. */
    bool isAskedByOthers() const { return _isAskedByOthers; }

    /** @return this node's place in the order of all nodes for a group; 0 is the first. */
    std::size_t turnOf(const GroupName& group) const;

private:
    void updateTurns(const std::vector<NodeName>& joined, const std::vector<NodeName>& left);

    NodeName _self;
    ZoneName _zone;
    locality::RegionMap _regions;
    std::set<NodeName> _nodes;
    /** Turns that were asked for; a change of the nodes moves them by those ranked before. */
    mutable std::map<GroupName, std::size_t> _turns;
    std::vector<NodeName> _candidates;
    bool _isAskedByOthers = true;
    bool _knowsNodes = false;
};

}  // namespace coralhoist::pooling
