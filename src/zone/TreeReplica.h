/** The settings tree of a proxy as the distribution sees it. */
#pragma once

#include <functional>

#include "settings/SettingsTree.h"
#include "zone/SettingsReplica.h"

namespace coralhoist::zone {

/** SettingsReplica over a SettingsTree. */
class TreeReplica final : public SettingsReplica {
public:
    /** Merges a record into the tree, and publishes it or whatever else has to follow. */
    using Merge = std::function<settings::MergeOutcome(const settings::SettingsObjectRecord&)>;

    /** @param tree outlives this object; only merge changes it. */
    TreeReplica(const settings::SettingsTree& tree, Merge merge)
        : _tree(tree), _merge(std::move(merge)) {}

    bool merge(const settings::SettingsObjectRecord& record) override;
    std::uint64_t newestVersion(const std::string& path) const override;
    std::uint64_t versionInForce(const std::string& path) const override;
    std::vector<settings::SettingsObjectRecord> records(const std::string& path) const override;
    std::vector<settings::SettingsObjectRecord> recordsOfBucket(std::size_t bucket) const override;
    std::vector<ObjectVersion> versionsOfBucket(std::size_t bucket) const override;
    const std::array<std::uint64_t, kSettingsBuckets>& bucketSums() const override;
    std::uint64_t digest() const override { return _tree.digest().total(); }
    std::uint64_t freshestVersion() const override { return _tree.freshestVersion(); }

private:
    const settings::SettingsTree& _tree;
    Merge _merge;
};

}  // namespace coralhoist::zone
