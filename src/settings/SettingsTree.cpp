#include "settings/SettingsTree.h"

#include <algorithm>
#include <utility>

namespace coralhoist::settings {
namespace {

RecordKey keyOf(const SettingsObjectRecord& record) {
    return {record.path, record.version, record.deleted};
}

std::uint64_t hashInForce(const SettingsObjectRecord& record) {
    return TreeDigest::hashOf(record.path, record.version, true);
}

std::uint64_t hashRefused(const SettingsObjectRecord& record) {
    return TreeDigest::hashOf(record.path, record.version, false);
}

}  // namespace

SettingsTree::SettingsTree()
    : _pathsOfBucket(TreeDigest::kBuckets), _snapshot(std::make_shared<const SettingsSnapshot>()) {}

MergeOutcome SettingsTree::merge(const SettingsObjectRecord& record) {
    const auto path = NodePath::parse(record.path);
    if (!path.isOk() || record.version == 0) {
        return MergeOutcome::Malformed;
    }
    auto found = _entries.find(record.path);
    if (found == _entries.end()) {
        if (record.version <= _forgottenUpTo) {
            return MergeOutcome::Forgotten;
        }
        found = _entries.emplace(record.path, Entry()).first;
        _pathsOfBucket[TreeDigest::bucketOf(found->first)].insert(found->first);
    }
    Entry& entry = found->second;
    if (entry.inForce != nullptr && record.version <= entry.inForce->record.version) {
        return MergeOutcome::Unchanged;
    }
    _freshestVersion = std::max(_freshestVersion, record.version);
    auto document = NodeDocument::parse(path.value(), record.deleted ? "" : record.document);
    if (!document.isOk()) {
        return refuse(entry, record, document.status());
    }
    return putInForce(entry, {record, path.value(), std::move(document).value()});
}

MergeOutcome SettingsTree::putInForce(Entry& entry, SettingsNode node) {
    if (entry.refused && entry.refused->version <= node.record.version) {
        dropRefused(entry);
    }
    if (entry.inForce != nullptr) {
        _digest.remove(node.record.path, hashInForce(entry.inForce->record));
        _deletionCount -= entry.inForce->record.deleted ? 1 : 0;
    }
    _digest.add(node.record.path, hashInForce(node.record));
    _deletionCount += node.record.deleted ? 1 : 0;
    entry.inForce = std::make_shared<const SettingsNode>(std::move(node));
    const bool deleted = entry.inForce->record.deleted;
    _unpublished.push_back({entry.inForce->path, deleted ? nullptr : entry.inForce});
    return MergeOutcome::Applied;
}

MergeOutcome SettingsTree::refuse(Entry& entry, const SettingsObjectRecord& record,
                                  const Status& reason) {
    if (entry.refused && entry.refused->version >= record.version) {
        return MergeOutcome::Unchanged;
    }
    dropRefused(entry);
    entry.refused = record;
    entry.refusal = reason.message();
    _digest.add(record.path, hashRefused(record));
    return MergeOutcome::Refused;
}

void SettingsTree::dropRefused(Entry& entry) {
    if (entry.refused) {
        _digest.remove(entry.refused->path, hashRefused(*entry.refused));
        entry.refused.reset();
        entry.refusal.clear();
    }
}

std::shared_ptr<const SettingsSnapshot> SettingsTree::snapshot() {
    if (!_unpublished.empty()) {
        _snapshot = _snapshot->withChanges(_unpublished, _freshestVersion);
        _unpublished.clear();
    }
    return _snapshot;
}

std::optional<SettingsObjectRecord> SettingsTree::find(std::string_view path) const {
    const auto found = _entries.find(path);
    if (found == _entries.end() || found->second.inForce == nullptr) {
        return std::nullopt;
    }
    return found->second.inForce->record;
}

std::vector<SettingsFault> SettingsTree::faults() {
    std::vector<SettingsFault> faults;
    for (const auto& [path, entry] : _entries) {
        if (entry.refused) {
            faults.push_back({path, entry.refused->version, entry.refusal});
        }
    }
    for (SettingsFault& fault : snapshot()->faults()) {
        faults.push_back(std::move(fault));
    }
    return faults;
}

std::vector<SettingsObjectRecord> SettingsTree::recordsOfBucket(std::size_t bucket) const {
    std::vector<SettingsObjectRecord> records;
    for (const std::string_view path : _pathsOfBucket.at(bucket)) {
        const Entry& entry = _entries.find(path)->second;
        if (entry.inForce != nullptr) {
            records.push_back(entry.inForce->record);
        }
        if (entry.refused) {
            records.push_back(*entry.refused);
        }
    }
    return records;
}

std::vector<RecordKey> SettingsTree::keysOfBucket(std::size_t bucket) const {
    std::vector<RecordKey> keys;
    for (const std::string_view path : _pathsOfBucket.at(bucket)) {
        const Entry& entry = _entries.find(path)->second;
        if (entry.inForce != nullptr) {
            keys.push_back(keyOf(entry.inForce->record));
        }
        if (entry.refused) {
            keys.push_back(keyOf(*entry.refused));
        }
    }
    return keys;
}

std::vector<SettingsObjectRecord> SettingsTree::records() const {
    std::vector<SettingsObjectRecord> records;
    for (const auto& [path, entry] : _entries) {
        if (entry.inForce != nullptr) {
            records.push_back(entry.inForce->record);
        }
        if (entry.refused) {
            records.push_back(*entry.refused);
        }
    }
    return records;
}

void SettingsTree::forgetDeletions(std::uint64_t completeUpTo) {
    _forgottenUpTo = std::max(_forgottenUpTo, completeUpTo);
    for (auto position = _entries.begin(); position != _entries.end();) {
        const Entry& entry = position->second;
        const bool deleted = entry.inForce != nullptr && entry.inForce->record.deleted;
        // A refused record above the deletion is unfinished business; it keeps the path.
        if (!deleted || entry.refused || entry.inForce->record.version > _forgottenUpTo) {
            ++position;
            continue;
        }
        _digest.remove(position->first, hashInForce(entry.inForce->record));
        --_deletionCount;
        _pathsOfBucket[TreeDigest::bucketOf(position->first)].erase(position->first);
        position = _entries.erase(position);
    }
}

std::size_t SettingsTree::mergeAbsences(std::size_t bucket, const std::vector<RecordKey>& peerKeys,
                                        std::uint64_t peerForgottenUpTo) {
    std::set<std::string_view> peerPaths;
    for (const RecordKey& key : peerKeys) {
        peerPaths.insert(key.path);
    }
    std::size_t deletedCount = 0;
    for (const RecordKey& key : keysOfBucket(bucket)) {
        const bool vouchedFor = key.version < peerForgottenUpTo;
        if (key.deleted || !vouchedFor || peerPaths.contains(key.path)) {
            continue;
        }
        SettingsObjectRecord deletion;
        deletion.path = key.path;
        // The exact version is lost. This one is right too: a node that was made again up to it
        // would be among the peer's keys.
        deletion.version = peerForgottenUpTo;
        deletion.deleted = true;
        deletedCount += merge(deletion) == MergeOutcome::Applied ? 1 : 0;
    }
    return deletedCount;
}

}  // namespace coralhoist::settings
