#include "pooling/ExecutorPlacement.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooling {
namespace {

void appendNames(const std::vector<NodeName>& from, std::vector<NodeName>& to) {
    to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

ExecutorPlacement::ExecutorPlacement(NodeName self, ZoneName zone, std::uint32_t executorsPerZone)
    : _self(std::move(self)), _zone(std::move(zone)), _executorsPerZone(executorsPerZone) {
    applyNodes({});
}

void ExecutorPlacement::setRegions(const locality::RegionMap& regions) {
    _regions = regions;
    _cache.clear();
}

void ExecutorPlacement::setExecutorsPerZone(std::uint32_t executorsPerZone) {
    _executorsPerZone = executorsPerZone;
    _cache.clear();
}

std::vector<GroupName> ExecutorPlacement::applyNodes(const std::vector<ProxyNode>& nodes) {
    const NodeChanges changes = replaceNodes(nodes);
    std::vector<GroupName> changed;
    if (changes.joined.empty() && changes.left.empty()) {
        return changed;
    }
    for (auto& [group, executors] : _cache) {
        const bool lost = applyDepartures(group, executors, changes);
        const bool gained = applyJoins(group, executors, changes);
        if (lost || gained) {
            arrange(group, executors);
            changed.push_back(group);
        }
    }
    return changed;
}

/** @return the nodes that joined and left; a node that moved to another zone did both. */
NodeChanges ExecutorPlacement::replaceNodes(const std::vector<ProxyNode>& nodes) {
    const std::map<NodeName, ZoneName> before = std::exchange(_zones, {});
    _zones[_self] = _zone;
    for (const ProxyNode& node : nodes) {
        if (node.name != _self && node.port != 0) {
            _zones[node.name] = node.zone;
        }
    }
    NodeChanges changes;
    _nodes.clear();
    for (const auto& [name, zone] : _zones) {
        _nodes[zone].push_back(name);
        const auto known = before.find(name);
        if (known == before.end() || known->second != zone) {
            changes.joined[zone].push_back(name);
        }
    }
    for (const auto& [name, zone] : before) {
        const auto known = _zones.find(name);
        if (known == _zones.end() || known->second != zone) {
            changes.left[zone].insert(name);
        }
    }
    return changes;
}

/** Chooses the executors again in each zone where an executor of the group has left. */
bool ExecutorPlacement::applyDepartures(const GroupName& group, Executors& executors,
                                        const NodeChanges& changes) const {
    bool changed = false;
    for (const auto& [zone, names] : changes.left) {
        const std::set<NodeName>& left = names;
        std::vector<RankedNode>& chosen = executors.chosen[zone];
        const bool isHit = std::any_of(chosen.begin(), chosen.end(), [&](const RankedNode& node) {
            return left.contains(node.name);
        });
        if (isHit) {
            chosen = chooseIn(zone, group);
            changed = true;
        }
    }
    return changed;
}

bool ExecutorPlacement::applyJoins(const GroupName& group, Executors& executors,
                                   const NodeChanges& changes) const {
    bool changed = false;
    NodeRanking ranking(group.value());
    for (const auto& [zone, joined] : changes.joined) {
        std::vector<RankedNode>& chosen = executors.chosen[zone];
        for (const NodeName& name : joined) {
            const RankedNode node{ranking.rankOf(name), name};
            ++_ranksComputed;
            const auto place =
                std::find_if(chosen.begin(), chosen.end(),
                             [&](const RankedNode& other) { return !other.isBefore(node); });
            const bool isChosen = place != chosen.end() && place->name == name;
            if (isChosen || (place == chosen.end() && chosen.size() >= _executorsPerZone)) {
                continue;
            }
            chosen.insert(place, node);
            chosen.resize(std::min<std::size_t>(chosen.size(), _executorsPerZone));
            changed = true;
        }
    }
    return changed;
}

const ZoneName& ExecutorPlacement::zoneOf(const NodeName& node) const {
    const auto found = _zones.find(node);
    return found == _zones.end() ? _unknownZone : found->second;
}

bool ExecutorPlacement::executesHere(const GroupName& group) const {
    return executorsOf(group).here;
}

std::size_t ExecutorPlacement::executorCount(const GroupName& group) const {
    return executorsOf(group).count;
}

const std::vector<NodeName>& ExecutorPlacement::preferenceOf(const GroupName& group) const {
    return executorsOf(group).others;
}

const ExecutorPlacement::Executors& ExecutorPlacement::executorsOf(const GroupName& group) const {
    const auto found = _cache.find(group);
    return found != _cache.end() ? found->second
                                 : _cache.emplace(group, compute(group)).first->second;
}

ExecutorPlacement::Executors ExecutorPlacement::compute(const GroupName& group) const {
    Executors result;
    for (const auto& [zone, nodes] : _nodes) {
        result.chosen[zone] = chooseIn(zone, group);
    }
    arrange(group, result);
    return result;
}

std::vector<RankedNode> ExecutorPlacement::chooseIn(const ZoneName& zone,
                                                    const GroupName& group) const {
    const auto nodes = _nodes.find(zone);
    if (nodes == _nodes.end()) {
        return {};
    }
    _ranksComputed += nodes->second.size();
    return NodeRanking(group.value()).first(nodes->second, _executorsPerZone);
}

/** Derives from the executors of each zone which nodes this node asks, and in which order. */
void ExecutorPlacement::arrange(const GroupName& group, Executors& executors) const {
    std::vector<NodeName> near;
    std::vector<NodeName> inRegion;
    std::vector<NodeName> far;
    executors.count = 0;
    executors.here = false;
    for (const auto& [zone, chosen] : executors.chosen) {
        executors.count += chosen.size();
        const bool isRegional =
            _regions.hasSeveralRegions() && _regions.areInOneRegion(_zone, zone);
        std::vector<NodeName>& others = isRegional ? inRegion : far;
        std::vector<NodeName>& place = zone == _zone ? near : others;
        for (const RankedNode& node : chosen) {
            if (node.name == _self) {
                executors.here = true;
            } else {
                place.push_back(node.name);
            }
        }
    }
    // Ranked again by a key that contains this node's name, so that the load of a zone is spread
    // over its executors.
    const std::string ownKey = group.value() + '\0' + _self.value();
    executors.others.clear();
    appendNames(rankedNodes(ownKey, near), executors.others);
    appendNames(rankedNodes(ownKey, inRegion), executors.others);
    appendNames(rankedNodes(ownKey, far), executors.others);
}

}  // namespace coralhoist::pooling
