#include "zone/TreeReplica.h"

#include <algorithm>
#include <utility>

namespace coralhoist::zone {

static_assert(kSettingsBuckets == settings::TreeDigest::kBuckets);

bool TreeReplica::merge(const settings::SettingsObjectRecord& record) {
    const settings::MergeOutcome outcome = _merge(record);
    return outcome == settings::MergeOutcome::Applied || outcome == settings::MergeOutcome::Refused;
}

std::uint64_t TreeReplica::newestVersion(const std::string& path) const {
    std::uint64_t newest = 0;
    for (const settings::RecordKey& key :
         _tree.keysOfBucket(settings::TreeDigest::bucketOf(path))) {
        newest = key.path == path ? std::max(newest, key.version) : newest;
    }
    return newest;
}

std::uint64_t TreeReplica::versionInForce(const std::string& path) const {
    const auto record = _tree.find(path);
    return record ? record->version : 0;
}

std::vector<settings::SettingsObjectRecord> TreeReplica::records(const std::string& path) const {
    std::vector<settings::SettingsObjectRecord> records =
        _tree.recordsOfBucket(settings::TreeDigest::bucketOf(path));
    std::erase_if(records, [&path](const settings::SettingsObjectRecord& record) {
        return record.path != path;
    });
    return records;
}

std::vector<settings::SettingsObjectRecord> TreeReplica::recordsOfBucket(std::size_t bucket) const {
    return _tree.recordsOfBucket(bucket);
}

std::vector<ObjectVersion> TreeReplica::versionsOfBucket(std::size_t bucket) const {
    std::vector<ObjectVersion> versions;
    // The records of a path stand together, the one in force first.
    for (const settings::RecordKey& key : _tree.keysOfBucket(bucket)) {
        if (!versions.empty() && versions.back().path == key.path) {
            versions.back().version = std::max(versions.back().version, key.version);
        } else {
            versions.push_back({key.path, key.version});
        }
    }
    return versions;
}

const std::array<std::uint64_t, kSettingsBuckets>& TreeReplica::bucketSums() const {
    return _tree.digest().buckets();
}

}  // namespace coralhoist::zone
