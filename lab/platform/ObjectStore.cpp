#include "lab/platform/ObjectStore.h"

#include <algorithm>
#include <utility>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::lab {
namespace {

QJsonObject withMetadata(QJsonObject object, const QString& name, std::uint64_t version) {
    QJsonObject metadata = object["metadata"].toObject();
    metadata["name"] = name;
    metadata["resourceVersion"] = QString::number(version);
    object["metadata"] = metadata;
    return object;
}

Status notFound(const QString& name) {
    return {ErrorCode::NotFound, name.toStdString() + " not found"};
}

Status conflict(const QString& name) {
    return {ErrorCode::VersionConflict, name.toStdString() + " has been modified"};
}

}  // namespace

StatusWith<QJsonObject> ObjectStore::get(const QString& collection, const QString& name) const {
    const Collection* found = find(collection);
    if (found == nullptr || !found->current.contains(name)) {
        return notFound(name);
    }
    return found->current.at(name);
}

StatusWith<QJsonObject> ObjectStore::create(const QString& collection, QJsonObject object) {
    const QString name = platform::objectNameOf(object);
    if (name.isEmpty()) {
        return Status(ErrorCode::InvalidArgument, "metadata.name is missing");
    }
    if (_collections[collection].current.contains(name)) {
        return Status(ErrorCode::AlreadyExists, name.toStdString() + " already exists");
    }
    return record(ChangeKind::Added, collection, name, std::move(object));
}

StatusWith<QJsonObject> ObjectStore::replace(const QString& collection, const QString& name,
                                             QJsonObject object) {
    const auto current = get(collection, name);
    if (!current.isOk()) {
        return current.status();
    }
    const auto expected = platform::resourceVersionOf(object);
    if (!expected) {
        return Status(ErrorCode::InvalidArgument, "metadata.resourceVersion is missing");
    }
    if (expected != platform::resourceVersionOf(current.value())) {
        return conflict(name);
    }
    return record(ChangeKind::Modified, collection, name, std::move(object));
}

StatusWith<QJsonObject> ObjectStore::remove(const QString& collection, const QString& name,
                                            std::optional<std::uint64_t> expectedVersion) {
    const auto current = get(collection, name);
    if (!current.isOk()) {
        return current.status();
    }
    if (expectedVersion && expectedVersion != platform::resourceVersionOf(current.value())) {
        return conflict(name);
    }
    return record(ChangeKind::Deleted, collection, name, current.value());
}

std::optional<ObjectChange> ObjectStore::publishNext(const QString& collection) {
    Collection& target = _collections[collection];
    if (target.unpublished.empty()) {
        return std::nullopt;
    }
    ObjectChange change = std::move(target.unpublished.front());
    target.unpublished.pop_front();
    if (change.kind == ChangeKind::Deleted) {
        target.published.erase(change.name);
    } else {
        target.published[change.name] = change.object;
    }
    target.history.push_back(change);
    if (target.history.size() > kHistoryLimit) {
        target.forgottenVersion = target.history.front().version;
        target.history.pop_front();
    }
    return change;
}

CollectionState ObjectStore::list(const QString& collection) const {
    CollectionState state;
    state.version = publishedVersion(collection);
    const Collection* found = find(collection);
    if (found == nullptr) {
        return state;
    }
    for (const auto& [name, object] : found->published) {
        state.objects.push_back(object);
    }
    return state;
}

std::uint64_t ObjectStore::publishedVersion(const QString& collection) const {
    const Collection* found = find(collection);
    const bool allPublished = found == nullptr || found->unpublished.empty();
    return allPublished ? _version : found->unpublished.front().version - 1;
}

StatusWith<std::vector<ObjectChange>> ObjectStore::changesAfter(const QString& collection,
                                                                std::uint64_t version) const {
    std::vector<ObjectChange> changes;
    const Collection* found = find(collection);
    if (found == nullptr) {
        return changes;
    }
    if (version < found->forgottenVersion) {
        return Status(ErrorCode::VersionTooOld, "too old resource version");
    }
    const auto isOlder = [](std::uint64_t bound, const ObjectChange& change) {
        return bound < change.version;
    };
    const auto first =
        std::upper_bound(found->history.begin(), found->history.end(), version, isOlder);
    changes.assign(first, found->history.end());
    return changes;
}

void ObjectStore::compact() {
    for (auto& [name, collection] : _collections) {
        if (!collection.history.empty()) {
            collection.forgottenVersion = collection.history.back().version;
            collection.history.clear();
        }
    }
}

const ObjectStore::Collection* ObjectStore::find(const QString& collection) const {
    const auto found = _collections.find(collection);
    return found == _collections.end() ? nullptr : &found->second;
}

QJsonObject ObjectStore::record(ChangeKind kind, const QString& collection, const QString& name,
                                QJsonObject object) {
    ++_version;
    QJsonObject stored = withMetadata(std::move(object), name, _version);
    Collection& target = _collections[collection];
    if (kind == ChangeKind::Deleted) {
        target.current.erase(name);
    } else {
        target.current[name] = stored;
    }
    target.unpublished.push_back({kind, _version, collection, name, stored});
    return stored;
}

}  // namespace coralhoist::lab
