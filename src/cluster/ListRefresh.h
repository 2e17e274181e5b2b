/** Refreshes what a node knows of a kind with linearizable lists, before it is too old. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cluster/RefreshTiming.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::cluster {

/** What a refresh is made of. All outlive it. */
struct RefreshDependencies {
    const Clock& clock;
    RandomSource& random;
    socket::HttpCaller& storeClient;
    const store::ObjectProtocol& protocol;
    /** Told of all objects, the version of the store and the time of the call that showed them. */
    std::function<void(const std::vector<store::StoredObject>&, const StoreVersion&, TimePoint)>
        onList;
};

/**
 * Lists a kind when what is known of it has reached an age. A list is the only proof: a watch may
 * stay silent while changes are made, and an open connection may be silent for good, so each call
 * has a connection of its own. One call runs at a time. Nothing but the age and the outcome of its
 * own calls decides when the next one is made.
 */
class ListRefresh {
public:
    ListRefresh(std::string kind, RefreshTiming timing, RefreshDependencies dependencies);

    /**
     * Asks when it is due.
     * @param provenAt up to when the kind is known.
     * @param role unless it is the source, other nodes refresh the kind, too, and this one asks
     * only when they are late.
     */
    void onTick(TimePoint now, TimePoint provenAt, ListRole role);
    TimePoint nextTick(TimePoint provenAt, ListRole role) const;

    /** While no other node refreshes the kind, the next call is made whatever the age: a watch has
     * failed. Pauses are kept. */
    void askSoon() { _isWanted = true; }

    const RefreshTiming& timing() const { return _timing; }

private:
    void call();
    void onAnswer(const socket::HttpAnswer& answer);
    bool takePage(const socket::HttpAnswer& answer);
    void fail(int status);
    TimePoint dueAt(TimePoint provenAt, ListRole role) const;
    Duration dueAge(ListRole role) const;

    std::string _kind;
    RefreshTiming _timing;
    RefreshDependencies _dependencies;
    std::shared_ptr<bool> _alive;
    /** This node's part of the time over which late nodes ask. */
    Duration _spread;
    bool _isWanted = false;
    bool _running = false;
    TimePoint _askedAt{};
    TimePoint _nextCall{};
    Duration _pause{0};
    /** Pages of the list that is being read, and the version of the first. */
    std::vector<store::StoredObject> _pages;
    StoreVersion _listVersion;
    std::string _after;
};

}  // namespace coralhoist::cluster
