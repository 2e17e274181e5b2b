/** Connections to servers over TCP, in the wire format of a codec. */
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "link/session/SessionCodec.h"
#include "link/socket/StreamConnection.h"
#include "locality/RegionWatch.h"
#include "pooling/ServerLink.h"

namespace coralhoist::session {

/** Implements ServerConnector. Lives on the thread of its poller. */
class StreamServerConnector final : public pooling::ServerConnector, public socket::StreamHandler {
public:
    /** References outlive the connector. */
    StreamServerConnector(socket::SocketPoller& poller, const ServerCodec& codec);
    ~StreamServerConnector() override;

    /** Tells what passes to servers in other regions from now on. Both outlive the connector. */
    void setRegionWatch(locality::RegionWatch& watch, const Clock& clock) {
        _regions = &watch;
        _clock = &clock;
    }

    ConnectionId open(const pooling::ServerAddress& address, const TenantName& tenant,
                      pooling::ServerEvents& events) override;
    void send(ConnectionId connection,
              const std::vector<pooling::ServerCommand>& commands) override;
    void close(ConnectionId connection) override;

    /** Frees what has been closed; call from the event loop, outside any event. */
    void collect() { _closed.clear(); }
    bool hasClosed() const { return !_closed.empty(); }

private:
    struct Link {
        ConnectionId id;
        pooling::ServerAddress address;
        TenantName tenant;
        pooling::ServerEvents* events = nullptr;
        std::unique_ptr<socket::StreamConnection> stream;
        bool opened = false;
        /** The server stands in another region. */
        bool leavesRegion = false;
        /** Known where it does. */
        TimePoint begunAt{};
        std::optional<pooling::StatementError> refusal;
        pooling::StatementResult result;
    };

    void onConnected(socket::StreamConnection& connection) override;
    void onBytes(socket::StreamConnection& connection, std::string& buffer) override;
    void onClosed(socket::StreamConnection& connection) override;

    void onMessage(Link& link, ServerMessage message);
    void onReady(Link& link, const ServerMessage& message);
    void fail(ConnectionId id);
    void noteBytes(const Link& link, locality::TrafficDirection direction, std::size_t bytes);
    Link* find(ConnectionId id);

    socket::SocketPoller& _poller;
    const ServerCodec& _codec;
    std::unordered_map<ConnectionId, std::unique_ptr<Link>> _links;
    std::unordered_map<const socket::StreamConnection*, ConnectionId> _idOf;
    std::vector<std::unique_ptr<Link>> _closed;
    std::uint64_t _last = 0;
    /** Null where there is one region, like the clock. */
    locality::RegionWatch* _regions = nullptr;
    const Clock* _clock = nullptr;
};

}  // namespace coralhoist::session
