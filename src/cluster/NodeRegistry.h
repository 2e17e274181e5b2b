/** The nodes of the cluster as they register themselves in the store. */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cluster/ClusterCodec.h"
#include "link/socket/HttpClient.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::cluster {

/**
 * Keeps this node's registration fresh and counts the nodes. A registration that has not changed
 * for long no longer counts. Only shares of connections rest on the count, so that a wrong one
 * costs speed and no promise.
 */
class NodeRegistry {
public:
    /** References outlive the registry. */
    NodeRegistry(socket::HttpClient& client, const store::ObjectProtocol& protocol,
                 const ClusterCodec& codec, const Clock& clock, NodeName self);
    ~NodeRegistry();

    /** Takes a list of all registrations. */
    void onList(const std::vector<store::StoredObject>& objects);
    void onEvent(const store::ObjectEvent& event);

    /** Registers this node, and again at intervals. */
    void onTick(TimePoint now);
    TimePoint nextTick() const { return _nextCall; }

    /** @return the nodes that count, this one included. */
    std::size_t nodeCount() const;

private:
    struct Registration {
        std::uint64_t version = 0;
        TimePoint seenAt{};
    };

    void see(const store::StoredObject& object);
    void onAnswer(const socket::HttpAnswer& answer);

    socket::HttpClient& _client;
    const store::ObjectProtocol& _protocol;
    const ClusterCodec& _codec;
    const Clock& _clock;
    NodeName _self;
    std::map<std::string, Registration> _nodes;
    TimePoint _nextCall{};
    bool _running = false;
    std::shared_ptr<bool> _alive;
};

}  // namespace coralhoist::cluster
