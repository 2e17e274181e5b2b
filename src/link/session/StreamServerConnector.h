/** Connections to servers over TCP, in the wire format of a codec. */
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "link/session/SessionCodec.h"
#include "link/socket/StreamConnection.h"
#include "pooling/ServerLink.h"

namespace coralhoist::session {

/** Implements ServerConnector. Lives on the thread of its poller. */
class StreamServerConnector final : public pooling::ServerConnector, public socket::StreamHandler {
public:
    /** References outlive the connector. */
    StreamServerConnector(socket::SocketPoller& poller, const ServerCodec& codec);
    ~StreamServerConnector() override;

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
        std::optional<pooling::StatementError> refusal;
        pooling::StatementResult result;
    };

    void onConnected(socket::StreamConnection& connection) override;
    void onBytes(socket::StreamConnection& connection, std::string& buffer) override;
    void onClosed(socket::StreamConnection& connection) override;

    void onMessage(Link& link, ServerMessage message);
    void onReady(Link& link, const ServerMessage& message);
    void fail(ConnectionId id);
    Link* find(ConnectionId id);

    socket::SocketPoller& _poller;
    const ServerCodec& _codec;
    std::unordered_map<ConnectionId, std::unique_ptr<Link>> _links;
    std::unordered_map<const socket::StreamConnection*, ConnectionId> _idOf;
    std::vector<std::unique_ptr<Link>> _closed;
    std::uint64_t _last = 0;
};

}  // namespace coralhoist::session
