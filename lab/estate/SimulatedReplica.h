/** Settings of a simulated node, which share what most nodes have in common. */
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "zone/SettingsReplica.h"

namespace coralhoist::estate {

using RecordPointer = std::shared_ptr<const settings::SettingsObjectRecord>;

/** Records of settings objects, indexed by path and by bucket, with their sums. */
class RecordIndex {
public:
    /** Adds a record or replaces the one of its path. */
    void put(const RecordPointer& record);
    /** @return the record of a path, or null. */
    RecordPointer find(const std::string& path) const;
    const std::vector<std::string>& pathsOf(std::size_t bucket) const { return _paths[bucket]; }
    const std::array<std::uint64_t, zone::kSettingsBuckets>& sums() const { return _sums; }
    std::uint64_t freshest() const { return _freshest; }
    std::size_t size() const { return _records.size(); }

private:
    std::unordered_map<std::string, RecordPointer> _records;
    std::array<std::vector<std::string>, zone::kSettingsBuckets> _paths;
    std::array<std::uint64_t, zone::kSettingsBuckets> _sums{};
    std::uint64_t _freshest = 0;
};

/** Makes equal records of many nodes one object in memory. */
class RecordPool {
public:
    RecordPointer intern(const settings::SettingsObjectRecord& record);

private:
    std::unordered_map<std::string, std::unordered_map<std::uint64_t, RecordPointer>> _records;
};

/**
 * A replica that is an unchanging base, shared by all nodes that began with it, and what the node
 * has learnt since. It keeps the same versions as SettingsTree, without documents to interpret.
 */
class SimulatedReplica final : public zone::SettingsReplica {
public:
    /** @param base what the node knows at its start, or null for nothing. */
    SimulatedReplica(std::shared_ptr<const RecordIndex> base, RecordPool& pool);

    bool merge(const settings::SettingsObjectRecord& record) override;
    std::uint64_t newestVersion(const std::string& path) const override;
    std::uint64_t versionInForce(const std::string& path) const override;
    std::vector<settings::SettingsObjectRecord> records(const std::string& path) const override;
    std::vector<settings::SettingsObjectRecord> recordsOfBucket(std::size_t bucket) const override;
    std::vector<zone::ObjectVersion> versionsOfBucket(std::size_t bucket) const override;
    const std::array<std::uint64_t, zone::kSettingsBuckets>& bucketSums() const override {
        return _sums;
    }
    std::uint64_t digest() const override;
    std::uint64_t freshestVersion() const override { return _freshest; }

    /** @return the record of a path, or null. */
    RecordPointer find(const std::string& path) const;

private:
    template <typename Visit>
    void forEachOfBucket(std::size_t bucket, Visit visit) const;

    std::shared_ptr<const RecordIndex> _base;
    RecordPool& _pool;
    std::unordered_map<std::string, RecordPointer> _learnt;
    std::array<std::uint64_t, zone::kSettingsBuckets> _sums{};
    std::uint64_t _freshest = 0;
};

}  // namespace coralhoist::estate
