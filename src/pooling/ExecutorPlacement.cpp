#include "pooling/ExecutorPlacement.h"

#include <algorithm>
#include <utility>

#include "pooling/NodeRanking.h"

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

void ExecutorPlacement::applyNodes(const std::vector<ProxyNode>& nodes) {
    _nodes.clear();
    _zones.clear();
    _cache.clear();
    _nodes[_zone].push_back(_self);
    _zones[_self] = _zone;
    for (const ProxyNode& node : nodes) {
        if (node.name != _self && node.port != 0) {
            _nodes[node.zone].push_back(node.name);
            _zones[node.name] = node.zone;
        }
    }
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
    std::vector<NodeName> near;
    std::vector<NodeName> inRegion;
    std::vector<NodeName> far;
    for (const auto& [zone, nodes] : _nodes) {
        std::vector<NodeName> chosen = rankedNodes(group.value(), nodes);
        chosen.resize(std::min<std::size_t>(chosen.size(), _executorsPerZone));
        result.count += chosen.size();
        const bool isRegional =
            _regions.hasSeveralRegions() && _regions.areInOneRegion(_zone, zone);
        std::vector<NodeName>& others = isRegional ? inRegion : far;
        appendNames(chosen, zone == _zone ? near : others);
    }
    result.here = std::erase(near, _self) > 0;
    // Ranked again by a key of this node, so that the load of a zone spreads over its executors.
    const std::string ownKey = group.value() + '\0' + _self.value();
    appendNames(rankedNodes(ownKey, near), result.others);
    appendNames(rankedNodes(ownKey, inRegion), result.others);
    appendNames(rankedNodes(ownKey, far), result.others);
    return result;
}

}  // namespace coralhoist::pooling
