/** All objects of one kind as last seen, with what changed since any position. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "link/store/ObjectProtocol.h"

namespace coralhoist::store {

/** Changes of one kind that a receiver lacks. */
struct ObjectChanges {
    /** The events are all objects there are: what the receiver has besides is gone. */
    bool complete = false;
    /** The receiver knows all changes up to this position afterwards. */
    StoreVersion position;
    std::vector<ObjectEvent> events;
};

/**
 * Invariants: all objects and the position are of one era; within it an object is never replaced by
 * an older version of itself, and the position only grows; a removed object is remembered, so that
 * the changes since a position can be told without a log. A list of a later era replaces
 * everything: the store has returned older, and earlier positions mean nothing any more.
 */
class ObjectTable {
public:
    ObjectTable() = default;
    ObjectTable(const ObjectTable&) = delete;
    ObjectTable& operator=(const ObjectTable&) = delete;
    ObjectTable(ObjectTable&&) = default;
    ObjectTable& operator=(ObjectTable&&) = default;
    ~ObjectTable() = default;

    /**
     * Takes all objects as the store showed them at a position.
     * @return whether any of it was unknown.
     */
    bool takeList(const std::vector<StoredObject>& objects, const StoreVersion& position);

    /** Takes a change; one of another era than the list's is ignored. */
    void takeEvent(const ObjectEvent& event);

    /** All changes up to the position have been taken. */
    void advanceTo(const StoreVersion& position);

    /** Takes what another table told of its changes after this one's position. */
    void takeChanges(const ObjectChanges& changes);

    bool isListed() const { return _position.has_value(); }
    StoreVersion position() const { return _position.value_or(StoreVersion{}); }

    /** @return whether it is listed, in this era. */
    bool isListedIn(std::uint64_t era) const { return _position && _position->era == era; }

    /**
     * @param position up to which the receiver knows all changes; none when it knows nothing. One
     * of an earlier era is as good as none.
     * @return what it lacks; nothing when it lacks nothing. Call when listed.
     */
    std::optional<ObjectChanges> changesAfter(const std::optional<StoreVersion>& position) const;

    /** @return objects that were looked at to tell changes, ever. */
    std::uint64_t objectsExamined() const { return _objectsExamined; }

private:
    using Objects = std::map<std::string, ObjectEvent>;
    /** By version, then by name. */
    struct ByVersion {
        using is_transparent = void;
        using Entry = Objects::value_type*;

        bool operator()(Entry left, Entry right) const {
            const StoreVersion& one = left->second.object.version;
            const StoreVersion& other = right->second.object.version;
            return one != other ? one < other : left->first < right->first;
        }
        bool operator()(Entry left, const StoreVersion& right) const {
            return left->second.object.version < right;
        }
        bool operator()(const StoreVersion& left, Entry right) const {
            return left < right->second.object.version;
        }
    };

    void replace(Objects::value_type& entry, const ObjectEvent& event);
    void forgetOldRemovals();
    void keepPacked(const ObjectEvent& event);
    void tell(Objects::value_type& entry, ObjectChanges& changes) const;

    /** Contents are packed when they are first told, once for all receivers. */
    mutable Objects _objects;
    /** The same entries: what a receiver lacks is found without a look at the others. */
    std::set<Objects::value_type*, ByVersion> _byVersion;
    mutable std::uint64_t _objectsExamined = 0;
    std::optional<StoreVersion> _position;
    /** Removals before this position are not remembered. */
    StoreVersion _completeSince;
    std::size_t _removals = 0;
};

}  // namespace coralhoist::store
