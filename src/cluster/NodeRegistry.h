/** The nodes of the cluster as they register themselves in the store. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/StoreEra.h"
#include "base/Time.h"
#include "cluster/ClusterCodec.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"
#include "pooling/ExecutorPlacement.h"

namespace coralhoist::cluster {

/**
 * Keeps this node's registration fresh and lists the others'. A registration that has not been
 * renewed for long no longer counts. The list is read seldom and may be old: only the choice of
 * executors rests on it, so that a wrong one costs speed and no promise. The more nodes there are
 * the less often each of them lists all: what a node reads in a second does not grow with them.
 * When the store has returned older, each node registers again; until then those that the list
 * lacks count as before.
 */
class NodeRegistry {
public:
    /** References outlive the registry. @param self as the other nodes are to know this one. */
    NodeRegistry(socket::HttpCaller& client, const store::ObjectProtocol& protocol,
                 const ClusterCodec& codec, const Clock& clock, RandomSource& random,
                 const StoreEra& era, pooling::ProxyNode self);
    ~NodeRegistry();

    /** Registers this node, and lists all nodes, when either is due. */
    void onTick(TimePoint now);
    TimePoint nextTick() const;

    /**
     * @return whether the list can be relied on: it shows this node's own registration, or has been
     * read several times. When all nodes start together the first lists lack most of them.
     */
    bool isSettled() const { return _settled; }

    /** @return a number that grows with every list that was read. */
    std::size_t listsRead() const { return _lists; }

    /** @return the nodes that count, this one included. */
    std::vector<pooling::ProxyNode> nodes() const;

private:
    struct Registration {
        pooling::ProxyNode node;
        StoreVersion version;
        TimePoint seenAt{};
    };

    void noteReturns(TimePoint now);
    void startRegistration(TimePoint now);
    void startListing(TimePoint now);
    void onRegistered(const socket::HttpAnswer& answer);
    void onListed(const socket::HttpAnswer& answer);
    bool takePage(const socket::HttpAnswer& answer);
    bool replaceNodes();
    Duration pauseAfterList() const;

    socket::HttpCaller& _client;
    const store::ObjectProtocol& _protocol;
    const ClusterCodec& _codec;
    const Clock& _clock;
    RandomSource& _random;
    const StoreEra& _era;
    /** Returns of the store after which this node has begun to register again. */
    std::uint64_t _notedReturns = 0;
    pooling::ProxyNode _self;
    std::map<std::string, Registration> _nodes;
    /** Version of this node's registration; one that does not exist while it is not known to be
     * there.
     */
    StoreVersion _ownVersion;
    bool _registering = false;
    TimePoint _nextRegistration{};
    bool _listing = false;
    bool _settled = false;
    std::size_t _lists = 0;
    TimePoint _nextListing{};
    std::vector<store::StoredObject> _pages;
    std::string _after;
    /** Versions of the list that is being read, and of the one before. */
    StoreVersion _listVersion;
    StoreVersion _formerListVersion;
    /** Two lists of different versions have shown the same nodes, this one among them. */
    bool _confirmed = false;
    std::shared_ptr<bool> _alive;
};

}  // namespace coralhoist::cluster
