#include "pooling/ExecutorPlacement.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace coralhoist::pooling {
namespace {

/** A node and its rank for a key; the highest ranks are chosen. */
struct RankedNode {
    std::uint64_t rank = 0;
    NodeName name;
};

std::uint64_t rankOf(const std::string& key, const NodeName& node) {
    const std::string text = key + '\0' + node.value();
    return XXH3_64bits(text.data(), text.size());
}

/** @return the nodes by descending rank for the key. */
std::vector<RankedNode> ranked(const std::string& key, const std::vector<NodeName>& nodes) {
    std::vector<RankedNode> result;
    result.reserve(nodes.size());
    for (const NodeName& node : nodes) {
        result.push_back({rankOf(key, node), node});
    }
    std::sort(result.begin(), result.end(), [](const RankedNode& left, const RankedNode& right) {
        return left.rank != right.rank ? left.rank > right.rank : left.name < right.name;
    });
    return result;
}

void appendNames(const std::vector<RankedNode>& from, std::vector<NodeName>& to) {
    for (const RankedNode& node : from) {
        to.push_back(node.name);
    }
}

}  // namespace

ExecutorPlacement::ExecutorPlacement(NodeName self, ZoneName zone, std::uint32_t executorsPerZone)
    : _self(std::move(self)), _zone(std::move(zone)), _executorsPerZone(executorsPerZone) {
    applyNodes({});
}

void ExecutorPlacement::applyNodes(const std::vector<ProxyNode>& nodes) {
    _nodes.clear();
    _cache.clear();
    _nodes[_zone].push_back(_self);
    for (const ProxyNode& node : nodes) {
        if (node.name != _self && node.port != 0) {
            _nodes[node.zone].push_back(node.name);
        }
    }
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
    std::vector<NodeName> far;
    for (const auto& [zone, nodes] : _nodes) {
        std::vector<RankedNode> chosen = ranked(group.value(), nodes);
        chosen.resize(std::min<std::size_t>(chosen.size(), _executorsPerZone));
        result.count += chosen.size();
        appendNames(chosen, zone == _zone ? near : far);
    }
    result.here = std::erase(near, _self) > 0;
    // Ranked again by a key of this node, so that the load of a zone spreads over its executors.
    const std::string ownKey = group.value() + '\0' + _self.value();
    appendNames(ranked(ownKey, near), result.others);
    appendNames(ranked(ownKey, far), result.others);
    return result;
}

}  // namespace coralhoist::pooling
