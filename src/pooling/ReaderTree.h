/** Which nodes a node asks for the store's content before it asks the store itself. */
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
 * one that ranks first among them, and that one reads the store. Nodes with several times the
 * forwarding capacity rank before others: a reader sends the store's whole content to each node
 * that asks it, and in a large deployment a slow link can't carry that in time. Where there are
 * several regions, the zones' readers ask the first reader of their own region, and only that one
 * asks the first reader of another region, so that the store's content crosses to a region once.
 * Nodes with the same view form the same tree; nodes with different views may ask each other in a
 * cycle, which their request timeouts break.
 */
class ReaderTree {
public:
    ReaderTree(NodeName self, ZoneName zone, locality::RegionMap regions = {});

    /** Replaces the known nodes. This node counts as known whether or not it is in the list. */
    void applyNodes(const std::vector<ProxyNode>& nodes);

    /** @return the nodes to ask, the preferred one first; none when this node reads the store. */
    const std::vector<NodeName>& candidates() const { return _candidates; }

    /** @return whether nodes were applied: until then this node seems to be the only one. */
    bool knowsNodes() const { return _knowsNodes; }

    /** @return whether nodes of its zone ask this node: it is a reader or the spare of the zone's
     * readers. */
    bool isAskedByOthers() const { return _isAskedByOthers; }

    /** @return this node's place in the order of all nodes for a group; 0 is the first. */
    std::size_t turnOf(const GroupName& group) const;

private:
    void updateTurns(const std::vector<NodeName>& joined, const std::vector<NodeName>& left);

    NodeName _self;
    ZoneName _zone;
    locality::RegionMap _regions;
    std::set<NodeName> _nodes;
    /** Places that turnOf() computed. When nodes join or leave, each place changes by the number of
     * them that rank before this node. */
    mutable std::map<GroupName, std::size_t> _turns;
    std::vector<NodeName> _candidates;
    bool _isAskedByOthers = true;
    bool _knowsNodes = false;
};

}  // namespace coralhoist::pooling
