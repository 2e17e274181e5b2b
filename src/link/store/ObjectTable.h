/** All objects of one kind as last seen, with what changed since any position. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "link/store/ObjectProtocol.h"

namespace coralhoist::store {

/** Changes of one kind that a receiver lacks. */
struct ObjectChanges {
    /** The events are all objects there are: what the receiver has besides is gone. */
    bool complete = false;
    /** The receiver knows all changes up to this position afterwards. */
    std::uint64_t position = 0;
    std::vector<ObjectEvent> events;
};

/**
 * Invariants: an object is never replaced by an older version of itself; the position only grows;
 * a removed object is remembered, so that the changes since a position can be told without a log.
 */
class ObjectTable {
public:
    /**
     * Takes all objects as the store showed them at a position.
     * @return whether any of it was unknown.
     */
    bool takeList(const std::vector<StoredObject>& objects, std::uint64_t position);

    void takeEvent(const ObjectEvent& event);

    /** All changes up to the position have been taken. */
    void advanceTo(std::uint64_t position);

    /** Takes what another table told of its changes after this one's position. */
    void takeChanges(const ObjectChanges& changes);

    bool isListed() const { return _position.has_value(); }
    std::uint64_t position() const { return _position.value_or(0); }

    /** @return the highest version of any object. */
    std::uint64_t newestVersion() const { return _newestVersion; }

    /**
     * @param position up to which the receiver knows all changes; none when it knows nothing.
     * @return what it lacks; nothing when it lacks nothing. Call when listed.
     */
    std::optional<ObjectChanges> changesAfter(std::optional<std::uint64_t> position) const;

private:
    void forgetOldRemovals();

    /** Contents are packed when they are first told, once for all receivers. */
    mutable std::map<std::string, ObjectEvent> _objects;
    std::optional<std::uint64_t> _position;
    /** Highest version of any object, so that most receivers are found to lack nothing at once. */
    std::uint64_t _newestVersion = 0;
    /** Removals before this position are not remembered. */
    std::uint64_t _completeSince = 0;
    std::size_t _removals = 0;
};

}  // namespace coralhoist::store
