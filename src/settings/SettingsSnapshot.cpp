#include "settings/SettingsSnapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "base/Error.h"
#include "settings/KeyRegistry.h"

namespace coralhoist::settings {

/** A group's node, which may be missing, and its services. */
struct SettingsSnapshot::GroupBranch {
    SettingsNodePointer node;
    std::map<ServiceName, SettingsNodePointer> services;
};

/** The branches of the groups whose names fall into one shard. */
struct SettingsSnapshot::Shard {
    std::map<GroupName, std::shared_ptr<const GroupBranch>> branches;
};

namespace {

void applyToGroup(const SettingsNodePointer& node, GroupSettings& settings) {
    if (node == nullptr) {
        return;
    }
    for (const NamedValue& named : node->document.values()) {
        if (named.key->applyToGroup != nullptr) {
            named.key->applyToGroup(named.value, settings);
        }
    }
}

void applyToService(const SettingsNodePointer& node, ServiceSettings& settings) {
    if (node == nullptr) {
        return;
    }
    for (const NamedValue& named : node->document.values()) {
        if (named.key->applyToService != nullptr) {
            named.key->applyToService(named.value, settings);
        }
    }
}

/** Whether a key has a meaning for a path of this level: it may be set there or above. */
bool appliesTo(const KeyDefinition& key, SettingsLevel level) {
    return key.levels.estate || level != SettingsLevel::Estate;
}

}  // namespace

SettingsSnapshot::SettingsSnapshot() {
    _shards.fill(std::make_shared<const Shard>());
}

std::size_t SettingsSnapshot::shardOf(const GroupName& group) {
    return XXH3_64bits(group.value().data(), group.value().size()) % kShards;
}

std::shared_ptr<const SettingsSnapshot> SettingsSnapshot::withChanges(
    const std::vector<NodeChange>& changes, std::uint64_t version) const {
    auto changed = std::make_shared<SettingsSnapshot>(*this);
    changed->_version = version;
    BranchCopies copies;
    for (const NodeChange& change : changes) {
        if (change.path.level() == SettingsLevel::Estate) {
            changed->_estate = change.node;
        } else {
            applyBelowEstate(change, copies);
        }
    }
    changed->replaceBranches(copies);
    return changed;
}

void SettingsSnapshot::applyBelowEstate(const NodeChange& change, BranchCopies& copies) const {
    const GroupName& group = change.path.group();
    std::shared_ptr<GroupBranch>& copy = copies[group];
    if (copy == nullptr) {
        const GroupBranch* original = branch(group);
        copy = original != nullptr ? std::make_shared<GroupBranch>(*original)
                                   : std::make_shared<GroupBranch>();
    }
    if (change.path.level() == SettingsLevel::Group) {
        copy->node = change.node;
    } else if (change.node != nullptr) {
        copy->services[change.path.service()] = change.node;
    } else {
        copy->services.erase(change.path.service());
    }
}

void SettingsSnapshot::replaceBranches(const BranchCopies& copies) {
    std::map<std::size_t, std::shared_ptr<Shard>> shards;
    for (const auto& [group, copy] : copies) {
        const std::size_t index = shardOf(group);
        std::shared_ptr<Shard>& shard = shards[index];
        if (shard == nullptr) {
            shard = std::make_shared<Shard>(*_shards[index]);
        }
        if (copy->node == nullptr && copy->services.empty()) {
            shard->branches.erase(group);
        } else {
            shard->branches[group] = copy;
        }
    }
    for (auto& [index, shard] : shards) {
        _shards[index] = std::move(shard);
    }
}

const SettingsSnapshot::GroupBranch* SettingsSnapshot::branch(const GroupName& group) const {
    const auto& branches = _shards[shardOf(group)]->branches;
    const auto found = branches.find(group);
    return found == branches.end() ? nullptr : found->second.get();
}

GroupSettings SettingsSnapshot::resolveGroup(const GroupBranch& branch) const {
    GroupSettings settings = KeyRegistry::instance().defaultGroup();
    settings.name = branch.node->path.group();
    applyToGroup(_estate, settings);
    applyToGroup(branch.node, settings);
    return settings;
}

std::optional<GroupSettings> SettingsSnapshot::group(const GroupName& group) const {
    const GroupBranch* found = branch(group);
    if (found == nullptr || found->node == nullptr) {
        return std::nullopt;
    }
    GroupSettings settings = resolveGroup(*found);
    repairGroup(settings);
    return settings;
}

std::optional<ServiceSettings> SettingsSnapshot::service(const GroupName& group,
                                                         const ServiceName& service) const {
    const GroupBranch* found = branch(group);
    if (found == nullptr || found->node == nullptr) {
        return std::nullopt;
    }
    ServiceSettings settings = KeyRegistry::instance().defaultService();
    settings.name = service;
    applyToService(_estate, settings);
    applyToService(found->node, settings);
    if (const auto own = found->services.find(service); own != found->services.end()) {
        applyToService(own->second, settings);
    }
    return settings;
}

std::vector<GroupName> SettingsSnapshot::groups() const {
    std::vector<GroupName> names;
    for (const auto& shard : _shards) {
        for (const auto& [name, branch] : shard->branches) {
            if (branch->node != nullptr) {
                names.push_back(name);
            }
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

SettingsNodePointer SettingsSnapshot::node(const NodePath& path) const {
    if (path.level() == SettingsLevel::Estate) {
        return _estate;
    }
    const GroupBranch* found = branch(path.group());
    if (found == nullptr || path.level() == SettingsLevel::Group) {
        return found == nullptr ? nullptr : found->node;
    }
    const auto own = found->services.find(path.service());
    return own == found->services.end() ? nullptr : own->second;
}

std::vector<ServiceName> SettingsSnapshot::services(const GroupName& group) const {
    std::vector<ServiceName> names;
    if (const GroupBranch* found = branch(group)) {
        for (const auto& [name, node] : found->services) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<SettingsNodePointer> SettingsSnapshot::nodes() const {
    std::vector<SettingsNodePointer> nodes;
    if (_estate != nullptr) {
        nodes.push_back(_estate);
    }
    for (const auto& shard : _shards) {
        for (const auto& [group, branch] : shard->branches) {
            if (branch->node != nullptr) {
                nodes.push_back(branch->node);
            }
            for (const auto& [service, node] : branch->services) {
                nodes.push_back(node);
            }
        }
    }
    std::sort(nodes.begin(), nodes.end(),
              [](const auto& left, const auto& right) { return left->path < right->path; });
    return nodes;
}

std::vector<SettingsNodePointer> SettingsSnapshot::lineage(const NodePath& path) const {
    std::vector<SettingsNodePointer> lineage{_estate};
    if (path.level() != SettingsLevel::Estate) {
        lineage.push_back(node(NodePath::ofGroup(path.group())));
    }
    if (path.level() == SettingsLevel::Service) {
        lineage.push_back(node(path));
    }
    std::erase(lineage, nullptr);
    return lineage;
}

StatusWith<std::vector<EffectiveValue>> SettingsSnapshot::effective(const NodePath& path) const {
    const bool belowEstate = path.level() != SettingsLevel::Estate;
    if (belowEstate && node(NodePath::ofGroup(path.group())) == nullptr) {
        return Status(ErrorCode::NotFound, "no group '" + path.group().value() + "' in the tree");
    }
    const std::vector<SettingsNodePointer> nodes = lineage(path);
    std::vector<EffectiveValue> values;
    for (const KeyDefinition& key : KeyRegistry::instance().keys()) {
        if (!appliesTo(key, path.level())) {
            continue;
        }
        EffectiveValue effective{&key, key.defaultValue, std::nullopt};
        for (const SettingsNodePointer& node : nodes) {
            if (const SettingValue* own = node->document.find(key)) {
                effective.value = *own;
                effective.source = node->path;
            }
        }
        values.push_back(std::move(effective));
    }
    return values;
}

std::vector<CrossCheckFault> SettingsSnapshot::crossCheck(const GroupName& group) const {
    const GroupBranch* found = branch(group);
    if (found == nullptr || found->node == nullptr) {
        return {};
    }
    return checkGroup(resolveGroup(*found));
}

std::vector<SettingsFault> SettingsSnapshot::faults() const {
    std::vector<SettingsFault> faults;
    for (const GroupName& group : groups()) {
        const std::string path = NodePath::ofGroup(group).text();
        for (const CrossCheckFault& fault : crossCheck(group)) {
            faults.push_back({path, 0, path + ": " + fault.key + ": " + fault.message});
        }
    }
    return faults;
}

}  // namespace coralhoist::settings
