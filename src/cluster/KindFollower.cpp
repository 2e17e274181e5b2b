#include "cluster/KindFollower.h"

#include <algorithm>

#include "base/Log.h"

namespace coralhoist::cluster {

using store::ObjectChanges;
using store::ObjectEvent;
using store::StoredObject;

KindFollower::KindFollower(const FollowedKind& kind, const KindDependencies& dependencies,
                           bool& news)
    : _watch(kind.name, dependencies.storeClient, dependencies.protocol, dependencies.clock,
             dependencies.random, *this, kind.timing),
      _refresh(
          kind.name, RefreshTiming::forBound(kind.bound),
          {dependencies.clock, dependencies.random, dependencies.storeClient, dependencies.protocol,
           [this](const std::vector<StoredObject>& objects, const StoreVersion& version,
                  TimePoint askedAt) { onRefreshed(objects, version, askedAt); }}),
      _sink(kind.sink),
      _news(news),
      _era(dependencies.era),
      _startedAt(dependencies.clock.now()) {}

/** @return whether any of it was unknown. */
bool KindFollower::takeObjects(const std::vector<StoredObject>& objects,
                               const StoreVersion& version) {
    const bool isFirst = !_table.isListed();
    if (version < _table.position()) {
        LogEvent("cluster", LogLevel::Warning, "list.behind")
            .field("kind", _watch.kind())
            .field("position", version)
            .field("known_position", _table.position());
    }
    const bool changed = _table.takeList(objects, version);
    if (changed || isFirst) {
        _news = true;
        _sink.onList(objects, version);
    }
    return changed;
}

void KindFollower::onList(const std::vector<StoredObject>& objects, const StoreVersion& version) {
    takeObjects(objects, version);
    if (proves(_watch.listedAt())) {
        noteProven(_watch.listedAt());
    }
}

/** @return whether a list shows all that others had written when it was asked for. */
bool KindFollower::proves(TimePoint askedAt) const {
    return _era.returns() == 0 || askedAt >= _era.shownAt() + _refresh.timing().rewrittenAfter;
}

/** The first list after a return of the store is asked for at once. */
void KindFollower::noteReturns() {
    if (_notedReturns != _era.returns()) {
        _notedReturns = _era.returns();
        _refresh.askSoon();
    }
}

void KindFollower::onEvent(const ObjectEvent& event) {
    _table.takeEvent(event);
    _news = true;
    _sink.onEvent(event);
}

/** A list tells whether the store answers; until then the watch rests. */
void KindFollower::onReachable(bool reachable) {
    if (!reachable) {
        _refresh.askSoon();
    }
    _sink.onReachable(reachable);
}

void KindFollower::onRefreshed(const std::vector<StoredObject>& objects,
                               const StoreVersion& version, TimePoint askedAt) {
    const bool missed = takeObjects(objects, version);
    _watch.noteList(version, askedAt, missed);
    _refreshedAt = askedAt;
    if (proves(askedAt)) {
        noteProven(askedAt);
    }
}

void KindFollower::take(const ObjectChanges& changes) {
    const bool isEarlier = changes.position < _table.position();
    const bool isOfOtherEra = !changes.complete && changes.position.era != _table.position().era;
    if (isEarlier || isOfOtherEra) {
        // Told in answer to a question of before a list of this node's own.
        return;
    }
    _table.takeChanges(changes);
    _news = true;
    if (!changes.complete) {
        std::for_each(changes.events.begin(), changes.events.end(),
                      [this](const ObjectEvent& event) { _sink.onEvent(event); });
        return;
    }
    std::vector<StoredObject> objects;
    for (const ObjectEvent& event : changes.events) {
        objects.push_back(event.object);
    }
    _sink.onList(objects, changes.position);
}

void KindFollower::resumeWatch() {
    if (_table.isListed()) {
        _watch.resumeFrom(_table.position());
    }
}

void KindFollower::onTick(TimePoint now, ListRole role) {
    noteReturns();
    const ListRole own = roleNow(role);
    _refresh.onTick(now, refreshedAt(), own);
    if (own != ListRole::Source || !_watch.isReachable()) {
        return;
    }
    _watch.onTick(now);
    if (_table.isListed() && _watch.position()) {
        _table.advanceTo(*_watch.position());
    }
}

TimePoint KindFollower::nextTick(ListRole role) const {
    const ListRole own = roleNow(role);
    TimePoint next = _refresh.nextTick(refreshedAt(), own);
    if (own == ListRole::Source && _watch.isReachable()) {
        next = std::min(next, _watch.nextTick().value_or(next));
    }
    return next;
}

}  // namespace coralhoist::cluster
