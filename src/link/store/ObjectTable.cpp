#include "link/store/ObjectTable.h"

#include <algorithm>
#include <set>
#include <utility>

#include "link/store/ObjectPacking.h"

namespace coralhoist::store {
namespace {

/** Removed objects that are remembered at most: as many as there are others, so that the loss of a
 * part of an estate's servers is told as such, and at least so many; each takes about 100 bytes. */
constexpr std::size_t kRememberedRemovals = 1000;
/** With the first one too many, one part in so many is forgotten at once. */
constexpr std::size_t kForgottenPart = 8;

}  // namespace

bool ObjectTable::takeList(const std::vector<StoredObject>& objects, const StoreVersion& position) {
    if (_position && position.era < _position->era) {
        return false;
    }
    if (_position && position.era > _position->era) {
        *this = ObjectTable();
    }
    std::set<std::string> present;
    bool changed = false;
    for (const StoredObject& object : objects) {
        present.insert(object.name);
        const auto known = _objects.find(object.name);
        const bool isNews =
            known == _objects.end() || known->second.object.version < object.version;
        if (_position && isNews && object.version <= *_position) {
            // It was missed before: receivers that were told up to that position lack it, too.
            _completeSince = position;
        }
        changed = changed || isNews;
        takeEvent({object, false, nullptr});
    }
    for (auto& entry : _objects) {
        const ObjectEvent& known = entry.second;
        if (!known.removed && known.object.version <= position && !present.contains(entry.first)) {
            ObjectEvent removal{known.object, true, nullptr};
            removal.object.version = position;
            replace(entry, removal);
            changed = true;
        }
    }
    if (!_position) {
        _completeSince = position;
    }
    forgetOldRemovals();
    advanceTo(position);
    return changed;
}

void ObjectTable::takeEvent(const ObjectEvent& event) {
    if (_position && event.object.version.era != _position->era) {
        return;
    }
    const auto [entry, added] = _objects.try_emplace(event.object.name);
    if (added || event.object.version > entry->second.object.version) {
        replace(*entry, event);
        forgetOldRemovals();
    }
}

/** Of a removed object its name and version are kept. */
void ObjectTable::replace(Objects::value_type& entry, const ObjectEvent& event) {
    ObjectEvent& known = entry.second;
    const bool wasRemoved = _byVersion.erase(&entry) > 0 && known.removed;
    _removals -= wasRemoved ? 1 : 0;
    _removals += event.removed ? 1 : 0;
    known = event;
    if (event.removed) {
        known.object.content = {};
        known.packed.reset();
    }
    _byVersion.insert(&entry);
}

void ObjectTable::advanceTo(const StoreVersion& position) {
    if (!_position || position.era == _position->era) {
        _position = std::max(this->position(), position);
    }
}

void ObjectTable::takeChanges(const ObjectChanges& changes) {
    if (changes.complete) {
        std::vector<StoredObject> objects;
        for (const ObjectEvent& event : changes.events) {
            objects.push_back(event.object);
        }
        takeList(objects, changes.position);
        for (const ObjectEvent& event : changes.events) {
            keepPacked(event);
        }
        return;
    }
    for (const ObjectEvent& event : changes.events) {
        takeEvent(event);
    }
    advanceTo(changes.position);
}

/** The content need not be packed again for the next receiver. */
void ObjectTable::keepPacked(const ObjectEvent& event) {
    const auto known = _objects.find(event.object.name);
    if (known != _objects.end() && known->second.object.version == event.object.version) {
        known->second.packed = event.packed;
    }
}

std::optional<ObjectChanges> ObjectTable::changesAfter(
    const std::optional<StoreVersion>& position) const {
    ObjectChanges changes;
    changes.complete = !position || *position < _completeSince;
    changes.position = this->position();
    if (changes.complete) {
        for (auto& entry : _objects) {
            if (!entry.second.removed) {
                tell(entry, changes);
            }
        }
        std::sort(changes.events.begin(), changes.events.end(),
                  [](const ObjectEvent& left, const ObjectEvent& right) {
                      return left.object.version < right.object.version;
                  });
        return changes;
    }
    for (auto entry = _byVersion.upper_bound(*position); entry != _byVersion.end(); ++entry) {
        tell(**entry, changes);
    }
    return changes.events.empty() ? std::nullopt : std::optional<ObjectChanges>(std::move(changes));
}

void ObjectTable::tell(Objects::value_type& entry, ObjectChanges& changes) const {
    ++_objectsExamined;
    ObjectEvent& known = entry.second;
    if (!known.removed && !known.packed) {
        known.packed = std::make_shared<const std::string>(packContent(known.object.content));
    }
    changes.events.push_back(known);
}

/** Those who know less than what is forgotten get all objects. */
void ObjectTable::forgetOldRemovals() {
    const std::size_t limit = std::max(kRememberedRemovals, _objects.size() - _removals);
    if (_removals <= limit) {
        return;
    }
    const std::size_t kept = limit - limit / kForgottenPart;
    for (auto next = _byVersion.begin(); _removals > kept;) {
        Objects::value_type* entry = *next;
        if (!entry->second.removed) {
            ++next;
            continue;
        }
        _completeSince = std::max(_completeSince, entry->second.object.version);
        next = _byVersion.erase(next);
        _objects.erase(_objects.find(entry->first));
        --_removals;
    }
}

}  // namespace coralhoist::store
