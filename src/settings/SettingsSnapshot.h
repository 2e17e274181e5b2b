/** An immutable state of the settings tree. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Status.h"
#include "settings/CrossChecks.h"
#include "settings/NodeDocument.h"
#include "settings/SettingsFault.h"
#include "settings/SettingsView.h"

namespace coralhoist::settings {

/** The value of one key for one path, and where it comes from. */
struct EffectiveValue {
    const KeyDefinition* key = nullptr;
    SettingValue value;
    /** Path of the node that sets the value, or nothing for the key's default. */
    std::optional<NodePath> source;
};

/** A change of one node; without a node it is removed. */
struct NodeChange {
    NodePath path;
    SettingsNodePointer node;
};

/**
 * All nodes at one moment, with inheritance from estate to group to service. Immutable and shared
 * between threads. A changed snapshot shares all nodes and all shards that did not change with the
 * one that it was made from, so that publishing one change costs little even in a large tree.
 */
class SettingsSnapshot final : public SettingsView {
public:
    /** An empty tree. */
    SettingsSnapshot();

    /**
     * @param version freshest version that the new snapshot has seen.
     * @return a snapshot with the changes, the later of two for one path last.
     */
    std::shared_ptr<const SettingsSnapshot> withChanges(const std::vector<NodeChange>& changes,
                                                        std::uint64_t version) const;

    std::optional<GroupSettings> group(const GroupName& group) const override;
    std::optional<ServiceSettings> service(const GroupName& group,
                                           const ServiceName& service) const override;
    std::vector<GroupName> groups() const override;

    /** @return the node's own record and values, or null when the tree has no such node. */
    SettingsNodePointer node(const NodePath& path) const;

    /** @return names of the group's services that have a node, in order. */
    std::vector<ServiceName> services(const GroupName& group) const;

    /** @return all nodes in the order of their paths. */
    std::vector<SettingsNodePointer> nodes() const;

    /**
     * @return the value of every key that applies to the path, in the registry's order; NotFound
     * when the tree has no such group. A service without a node inherits all from its group.
     */
    StatusWith<std::vector<EffectiveValue>> effective(const NodePath& path) const;

    /** @return the rules between keys that a group's settings as written break. */
    std::vector<CrossCheckFault> crossCheck(const GroupName& group) const;

    /** @return the broken rules of all groups. Costs a pass over all groups. */
    std::vector<SettingsFault> faults() const;

    /** @return the freshest version of any record that this snapshot takes into account. */
    std::uint64_t version() const { return _version; }

private:
    struct GroupBranch;
    struct Shard;
    /** Branches that a new snapshot replaces, by group. */
    using BranchCopies = std::map<GroupName, std::shared_ptr<GroupBranch>>;
    static constexpr std::size_t kShards = 64;

    static std::size_t shardOf(const GroupName& group);
    const GroupBranch* branch(const GroupName& group) const;
    /** Applies a change of a group or service to the copy of its branch, made when missing. */
    void applyBelowEstate(const NodeChange& change, BranchCopies& copies) const;
    /** Puts the copies in place of the branches that this new snapshot shares with the old one. */
    void replaceBranches(const BranchCopies& copies);
    GroupSettings resolveGroup(const GroupBranch& branch) const;
    /** @return the nodes from the estate down to the path that exist. */
    std::vector<SettingsNodePointer> lineage(const NodePath& path) const;

    SettingsNodePointer _estate;
    std::array<std::shared_ptr<const Shard>, kShards> _shards;
    std::uint64_t _version = 0;
};

}  // namespace coralhoist::settings
