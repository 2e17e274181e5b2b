/** One kind of the store's objects as a node follows it. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/StoreEra.h"
#include "base/Time.h"
#include "cluster/ListRefresh.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectTable.h"
#include "link/store/ObjectWatch.h"

namespace coralhoist::cluster {

/** A kind of objects to follow. */
struct FollowedKind {
    std::string name;
    store::WatchTiming timing;
    /** While the store answers this node, what it knows of the kind is never older. */
    Duration bound{0};
    /** Told of lists and changes, whoever brings them; outlives the follower. */
    store::WatchSink& sink;
};

/** What a follower of a kind calls the store with. All outlive it. */
struct KindDependencies {
    const Clock& clock;
    RandomSource& random;
    socket::HttpCaller& storeClient;
    const store::ObjectProtocol& protocol;
    const StoreEra& era;
};

/**
 * Fills a table from three sides: other nodes, a watch of the store, and lists that refresh it. The
 * watch brings changes soon while no other node does; the lists alone prove what is known, and go
 * on whatever becomes of the others. No kind waits for another.
 *
 * What was proven before the store returned older stays proven up to its moment: others write again
 * what they had written. Lists that follow the return too closely prove nothing.
 */
class KindFollower final : public store::WatchSink {
public:
    /** @param news set when something has come that other nodes may lack; outlives the follower. */
    KindFollower(const FollowedKind& kind, const KindDependencies& dependencies, bool& news);

    /** @return when the newest list was asked for whose objects are all known here; no change of an
     * earlier time is unknown. */
    TimePoint provenAt() const { return _provenAt; }

    /** @return whether what is known is so old that it must not be taken from another node. */
    bool isLate(TimePoint provenAt, TimePoint now) const {
        return now - provenAt > _refresh.timing().lateAfter;
    }

    bool isListed() const { return _table.isListed(); }
    /** @return whether it has been listed since the store returned last. */
    bool isOfPresentEra() const { return _table.isListedIn(_era.current()); }
    bool isReachable() const { return _watch.isReachable(); }
    const store::ObjectTable& table() const { return _table; }

    /** Takes what another node told. */
    void take(const store::ObjectChanges& changes);

    /** Another node has told all that a list showed which was asked for at that time. */
    void noteProven(TimePoint provenAt) { _provenAt = std::max(_provenAt, provenAt); }

    /** The watch goes on from what other nodes have told. */
    void resumeWatch();

    void onTick(TimePoint now, ListRole role);
    TimePoint nextTick(ListRole role) const;

private:
    void onList(const std::vector<store::StoredObject>& objects,
                const StoreVersion& version) override;
    void onEvent(const store::ObjectEvent& event) override;
    void onReachable(bool reachable) override;

    bool takeObjects(const std::vector<store::StoredObject>& objects, const StoreVersion& version);
    void onRefreshed(const std::vector<store::StoredObject>& objects, const StoreVersion& version,
                     TimePoint askedAt);
    bool proves(TimePoint askedAt) const;
    void noteReturns();
    /** @return the role that counts: who knows nothing yet asks the store. */
    ListRole roleNow(ListRole role) const { return isListed() ? role : ListRole::Source; }
    TimePoint refreshedAt() const { return std::max({provenAt(), _startedAt, _refreshedAt}); }

    store::ObjectTable _table;
    store::ObjectWatch _watch;
    ListRefresh _refresh;
    store::WatchSink& _sink;
    bool& _news;
    const StoreEra& _era;
    /** Returns of the store after which a list was asked for at once. */
    std::uint64_t _notedReturns = 0;
    TimePoint _startedAt;
    TimePoint _provenAt{};
    /** When the newest list was asked for, whether or not it proves anything. */
    TimePoint _refreshedAt{};
};

}  // namespace coralhoist::cluster
