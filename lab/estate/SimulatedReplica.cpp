#include "lab/estate/SimulatedReplica.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace coralhoist::estate {
namespace {

std::size_t bucketOf(const std::string& path) {
    return XXH3_64bits(path.data(), path.size()) % zone::kSettingsBuckets;
}

std::uint64_t hashOf(const settings::SettingsObjectRecord& record) {
    return XXH3_64bits_withSeed(record.path.data(), record.path.size(), record.version);
}

}  // namespace

void RecordIndex::put(const RecordPointer& record) {
    RecordPointer& held = _records[record->path];
    const std::size_t bucket = bucketOf(record->path);
    if (held == nullptr) {
        _paths[bucket].push_back(record->path);
    } else {
        _sums[bucket] -= hashOf(*held);
    }
    held = record;
    _sums[bucket] += hashOf(*record);
    _freshest = std::max(_freshest, record->version);
}

RecordPointer RecordIndex::find(const std::string& path) const {
    const auto found = _records.find(path);
    return found == _records.end() ? nullptr : found->second;
}

RecordPointer RecordPool::intern(const settings::SettingsObjectRecord& record) {
    RecordPointer& held = _records[record.path][record.version];
    if (held == nullptr) {
        held = std::make_shared<const settings::SettingsObjectRecord>(record);
    }
    return held;
}

SimulatedReplica::SimulatedReplica(std::shared_ptr<const RecordIndex> base, RecordPool& pool)
    : _base(std::move(base)), _pool(pool) {
    if (_base != nullptr) {
        _sums = _base->sums();
        _freshest = _base->freshest();
    }
}

bool SimulatedReplica::merge(const settings::SettingsObjectRecord& record) {
    const RecordPointer held = find(record.path);
    if (held != nullptr && held->version >= record.version) {
        return false;
    }
    const std::size_t bucket = bucketOf(record.path);
    if (held != nullptr) {
        _sums[bucket] -= hashOf(*held);
    }
    _sums[bucket] += hashOf(record);
    _learnt[record.path] = _pool.intern(record);
    _freshest = std::max(_freshest, record.version);
    return true;
}

RecordPointer SimulatedReplica::find(const std::string& path) const {
    const auto learnt = _learnt.find(path);
    if (learnt != _learnt.end()) {
        return learnt->second;
    }
    return _base == nullptr ? nullptr : _base->find(path);
}

std::uint64_t SimulatedReplica::newestVersion(const std::string& path) const {
    const RecordPointer held = find(path);
    return held == nullptr ? 0 : held->version;
}

std::uint64_t SimulatedReplica::versionInForce(const std::string& path) const {
    return newestVersion(path);
}

std::vector<settings::SettingsObjectRecord> SimulatedReplica::records(
    const std::string& path) const {
    const RecordPointer held = find(path);
    return held == nullptr ? std::vector<settings::SettingsObjectRecord>{}
                           : std::vector<settings::SettingsObjectRecord>{*held};
}

template <typename Visit>
void SimulatedReplica::forEachOfBucket(std::size_t bucket, Visit visit) const {
    if (_base != nullptr) {
        for (const std::string& path : _base->pathsOf(bucket)) {
            visit(find(path));
        }
    }
    for (const auto& [path, record] : _learnt) {
        const bool inBase = _base != nullptr && _base->find(path) != nullptr;
        if (!inBase && bucketOf(path) == bucket) {
            visit(record);
        }
    }
}

std::vector<settings::SettingsObjectRecord> SimulatedReplica::recordsOfBucket(
    std::size_t bucket) const {
    std::vector<settings::SettingsObjectRecord> records;
    forEachOfBucket(bucket, [&](const RecordPointer& record) { records.push_back(*record); });
    return records;
}

std::vector<zone::ObjectVersion> SimulatedReplica::versionsOfBucket(std::size_t bucket) const {
    std::vector<zone::ObjectVersion> versions;
    forEachOfBucket(bucket, [&](const RecordPointer& record) {
        versions.push_back({record->path, record->version});
    });
    return versions;
}

std::uint64_t SimulatedReplica::digest() const {
    return XXH3_64bits(_sums.data(), sizeof _sums);
}

}  // namespace coralhoist::estate
