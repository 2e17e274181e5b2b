#include "link/session/StreamServerConnector.h"

#include <utility>

namespace coralhoist::session {

using locality::TrafficDirection;
using pooling::ServerAddress;
using pooling::ServerCommand;
using pooling::ServerEvents;
using pooling::StatementResult;

StreamServerConnector::StreamServerConnector(socket::SocketPoller& poller, const ServerCodec& codec)
    : _poller(poller), _codec(codec) {}

StreamServerConnector::~StreamServerConnector() = default;

ConnectionId StreamServerConnector::open(const ServerAddress& address, const TenantName& tenant,
                                         ServerEvents& events) {
    auto link = std::make_unique<Link>();
    link->id = ConnectionId(++_last);
    link->address = address;
    link->tenant = tenant;
    link->events = &events;
    link->leavesRegion = _regions != nullptr && _regions->traffic.leavesRegion(address.zone);
    if (link->leavesRegion) {
        link->begunAt = _clock->now();
    }
    link->stream = std::make_unique<socket::StreamConnection>(_poller, *this);
    // A failure at once leaves a connection that never opens; its user's time limit ends it.
    link->stream->connectTo(address.host, address.port);
    _idOf[link->stream.get()] = link->id;
    const ConnectionId id = link->id;
    _links[id] = std::move(link);
    return id;
}

void StreamServerConnector::send(ConnectionId connection,
                                 const std::vector<ServerCommand>& commands) {
    Link* link = find(connection);
    if (link == nullptr) {
        return;
    }
    std::string bytes;
    for (const ServerCommand& command : commands) {
        _codec.encode(bytes, command);
    }
    noteBytes(*link, TrafficDirection::Sent, bytes.size());
    link->stream->write(bytes);
}

void StreamServerConnector::noteBytes(const Link& link, TrafficDirection direction,
                                      std::size_t bytes) {
    if (link.leavesRegion) {
        _regions->traffic.add(locality::TrafficPurpose::Servers, direction, bytes);
    }
}

void StreamServerConnector::close(ConnectionId connection) {
    const auto found = _links.find(connection);
    if (found == _links.end()) {
        return;
    }
    found->second->stream->close(socket::CloseMode::Abort);
    _idOf.erase(found->second->stream.get());
    _closed.push_back(std::move(found->second));
    _links.erase(found);
}

StreamServerConnector::Link* StreamServerConnector::find(ConnectionId id) {
    const auto found = _links.find(id);
    return found == _links.end() ? nullptr : found->second.get();
}

void StreamServerConnector::onConnected(socket::StreamConnection& connection) {
    const auto id = _idOf.find(&connection);
    if (id == _idOf.end()) {
        return;
    }
    std::string bytes;
    const Link& link = *find(id->second);
    _codec.encodeConnect(bytes, link.address, link.tenant);
    noteBytes(link, TrafficDirection::Sent, bytes.size());
    if (link.leavesRegion) {
        const TimePoint now = _clock->now();
        _regions->distances.note(link.address.zone, now - link.begunAt, now);
    }
    connection.write(bytes);
}

void StreamServerConnector::onBytes(socket::StreamConnection& connection, std::string& buffer) {
    const auto found = _idOf.find(&connection);
    if (found == _idOf.end()) {
        return;
    }
    const ConnectionId id = found->second;
    std::size_t consumed = 0;
    while (Link* link = find(id)) {
        auto decoded = _codec.decode(std::string_view(buffer).substr(consumed));
        if (!decoded) {
            break;
        }
        consumed += decoded->bytes;
        noteBytes(*link, TrafficDirection::Received, decoded->bytes);
        if (decoded->message.kind == ServerMessage::Kind::Malformed) {
            fail(id);
            return;
        }
        onMessage(*link, std::move(decoded->message));
    }
    buffer.erase(0, consumed);
}

void StreamServerConnector::onMessage(Link& link, ServerMessage message) {
    switch (message.kind) {
        case ServerMessage::Kind::Row:
            link.result.rows.push_back(std::move(message.text));
            return;
        case ServerMessage::Kind::Completed:
            link.result.signature = std::move(message.text);
            return;
        case ServerMessage::Kind::Error:
            link.refusal = message.error;
            link.result.error = std::move(message.error);
            return;
        case ServerMessage::Kind::Ready:
            onReady(link, message);
            return;
        case ServerMessage::Kind::Malformed:
            return;
    }
}

void StreamServerConnector::onReady(Link& link, const ServerMessage& message) {
    if (!link.opened) {
        link.opened = true;
        link.events->onOpened(link.id, message.position);
        return;
    }
    StatementResult result = std::move(link.result);
    link.result = StatementResult{};
    result.state = message.state;
    result.position = message.position;
    link.events->onResult(link.id, std::move(result));
}

void StreamServerConnector::onClosed(socket::StreamConnection& connection) {
    const auto found = _idOf.find(&connection);
    if (found != _idOf.end()) {
        fail(found->second);
    }
}

void StreamServerConnector::fail(ConnectionId id) {
    Link* link = find(id);
    if (link == nullptr) {
        return;
    }
    ServerEvents* events = link->events;
    const bool opened = link->opened;
    const std::optional<pooling::StatementError> refusal = link->refusal;
    close(id);
    if (opened) {
        events->onLost(id);
    } else {
        events->onOpenFailed(id, refusal);
    }
}

}  // namespace coralhoist::session
