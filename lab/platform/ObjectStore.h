/** The stand-in platform's versioned objects and their recent history. Pure: no socket, no timer.
 */
#pragma once

#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/Status.h"

namespace coralhoist::lab {

/** Kind of a change, as in the API's watch events. */
enum class ChangeKind { Added, Modified, Deleted };

/** One change of one object. */
struct ObjectChange {
    ChangeKind kind = ChangeKind::Added;
    std::uint64_t version = 0;
    QString collection;
    QString name;
    /** The object after the change; for a deletion its last state with the deletion's version. */
    QJsonObject object;
};

/** The objects of one collection at one version. */
struct CollectionState {
    std::vector<QJsonObject> objects;
    std::uint64_t version = 0;
};

/**
 * All collections under one version counter.
 *
 * A change takes effect at once for reads of single objects and for the check of versions. Lists
 * and histories show it only after it was published: that is how the lag of the machine list is
 * made.
 */
class ObjectStore {
public:
    /** Most published changes kept for watches. */
    static constexpr std::size_t kHistoryLimit = 10000;

    /** @return the object, or NotFound. */
    StatusWith<QJsonObject> get(const QString& collection, const QString& name) const;

    /** @return the new object with its version, AlreadyExists or InvalidArgument. */
    StatusWith<QJsonObject> create(const QString& collection, QJsonObject object);

    /** @return the new object, NotFound, VersionConflict or InvalidArgument. */
    StatusWith<QJsonObject> replace(const QString& collection, const QString& name,
                                    QJsonObject object);

    /**
     * @param expectedVersion precondition; empty for none.
     * @return the last state with the deletion's version, NotFound or VersionConflict.
     */
    StatusWith<QJsonObject> remove(const QString& collection, const QString& name,
                                   std::optional<std::uint64_t> expectedVersion);

    /**
     * Publishes the oldest unpublished change of a collection.
     * @return the change, or nothing when all are published.
     */
    std::optional<ObjectChange> publishNext(const QString& collection);

    /** @return the published state of a collection. */
    CollectionState list(const QString& collection) const;

    /** @return the version up to which everything of the collection has been published. */
    std::uint64_t publishedVersion(const QString& collection) const;

    /**
     * @return the published changes of the collection after a version, or VersionTooOld when they
     *         are no longer kept.
     */
    StatusWith<std::vector<ObjectChange>> changesAfter(const QString& collection,
                                                       std::uint64_t version) const;

    /** Forgets all published changes. */
    void compact();

private:
    struct Collection {
        std::map<QString, QJsonObject> current;
        std::map<QString, QJsonObject> published;
        std::deque<ObjectChange> unpublished;
        std::deque<ObjectChange> history;
        /** Changes up to this version are no longer in history. */
        std::uint64_t forgottenVersion = 0;
    };

    const Collection* find(const QString& collection) const;
    QJsonObject record(ChangeKind kind, const QString& collection, const QString& name,
                       QJsonObject object);

    std::map<QString, Collection> _collections;
    std::uint64_t _version = 1;
};

}  // namespace coralhoist::lab
