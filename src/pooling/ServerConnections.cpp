#include "pooling/ServerConnections.h"

#include <algorithm>

#include "base/Log.h"

namespace coralhoist::pooling {
namespace {

/** How long the number of connections at which a server refused another one is used as a limit. */
constexpr Duration kConnectionLimitPause = std::chrono::seconds(1);
/** Minimum time between two verifications of the idle connections of a server that sometimes does
 * not respond. */
constexpr Duration kVerificationPause = std::chrono::milliseconds(500);
/** A connection that has not run anything is not closed for another tenant within this time: the
 * statement for which it was opened is sent within one round of the event loop (at most 1 ms). */
constexpr Duration kUnusedConnectionKept = std::chrono::milliseconds(100);

}  // namespace

ServerConnections::ServerConnections(const Clock& clock, ServerConnector& connector,
                                     ServerEvents& events, ConnectionOwner& owner,
                                     const PoolerKnobs& knobs, PoolerStatistics& statistics)
    : _clock(clock),
      _connector(connector),
      _events(events),
      _owner(owner),
      _knobs(knobs),
      _statistics(statistics) {}

ServerConnection* ServerConnections::find(ConnectionId id) {
    const auto found = _connections.find(id);
    return found == _connections.end() ? nullptr : &found->second;
}

const ServerConnection* ServerConnections::find(ConnectionId id) const {
    const auto found = _connections.find(id);
    return found == _connections.end() ? nullptr : &found->second;
}

bool ServerConnections::hasIdleFor(const ServerState& server, const TenantName& tenant) const {
    return std::any_of(server.idle.begin(), server.idle.end(),
                       [&](ConnectionId id) { return _connections.at(id).tenant == tenant; });
}

bool ServerConnections::mayOpen(const ServerState& server, const OpeningTerms& terms) const {
    return mayConnect(server) &&
           (!isFull(server, terms.limit) || replaceable(server, terms.activity).has_value());
}

bool ServerConnections::mayConnect(const ServerState& server) const {
    return server.ready && _clock.now() >= server.nextConnect &&
           server.opening < _knobs.concurrentConnects;
}

bool ServerConnections::isFull(const ServerState& server, std::uint32_t limit) const {
    const bool refused = server.refusedAbove && _clock.now() < server.refusedUntil &&
                         server.connections >= *server.refusedAbove;
    return refused || server.connections >= limit;
}

/**
 * @return the idle connection of the tenant that uses the group least, to be closed for one of
 * another tenant; of equals, the one that was used the longest ago. Choosing by age alone opens
 * more connections where there are many tenants. A connection that was opened a moment ago and has
 * not been used yet must still serve the tenant for which it was opened: otherwise two tenants
 * could close each other's connections in turn and run nothing.
 */
std::optional<ConnectionId> ServerConnections::replaceable(const ServerState& server,
                                                           const TenantActivity& activity) const {
    const TimePoint now = _clock.now();
    std::optional<ConnectionId> chosen;
    double least = 0;
    for (const ConnectionId id : server.idle) {
        const ServerConnection& connection = _connections.at(id);
        if (!connection.used && now - connection.since <= kUnusedConnectionKept) {
            continue;
        }
        const double uses = activity.of(connection.tenant, now);
        if (!chosen || uses < least) {
            chosen = id;
            least = uses;
        }
    }
    return chosen;
}

std::optional<ConnectionId> ServerConnections::open(ServerState& server, const TenantName& tenant,
                                                    const OpeningTerms& terms) {
    if (!mayConnect(server)) {
        return std::nullopt;
    }
    if (isFull(server, terms.limit)) {
        const std::optional<ConnectionId> idle = replaceable(server, terms.activity);
        if (!idle) {
            return std::nullopt;
        }
        ++_statistics.connectionsReplaced;
        discard(*idle);
    }
    ++server.opening;
    ++server.connections;
    ++_statistics.connectionsOpened;
    const ConnectionId id = _connector.open(server.address, tenant, _events);
    ServerConnection& connection = _connections[id];
    connection.id = id;
    connection.group = server.address.group;
    connection.server = server.address.server;
    connection.tenant = tenant;
    connection.since = _clock.now();
    return id;
}

ServerConnection* ServerConnections::takeIdle(ServerState& server, const TenantName& tenant,
                                              const SessionValues& values) {
    auto chosen = server.idle.end();
    for (auto candidate = server.idle.begin(); candidate != server.idle.end(); ++candidate) {
        const ServerConnection& connection = _connections.at(*candidate);
        if (connection.tenant != tenant) {
            continue;
        }
        if (connection.values == values) {
            chosen = candidate;
            break;
        }
        if (connection.values.empty() || chosen == server.idle.end()) {
            chosen = candidate;
        }
    }
    if (chosen == server.idle.end()) {
        return nullptr;
    }
    ServerConnection* connection = find(*chosen);
    server.idle.erase(chosen);
    return connection;
}

void ServerConnections::noteOpened(ServerConnection& connection) {
    connection.state = ServerConnection::State::Idle;
    connection.since = _clock.now();
    ServerState* server = _owner.serverOf(connection);
    if (server == nullptr) {
        return;
    }
    --server->opening;
    if (server->unreachable) {
        LogEvent("pooling", LogLevel::Info, "server.regained").field("server", connection.server);
    }
    server->unreachable = false;
    server->lastSeenAt = _clock.now();
    server->idle.push_back(connection.id);
}

void ServerConnections::noteOpenFailed(ServerConnection& connection,
                                       const std::optional<StatementError>& refusal) {
    const TimePoint now = _clock.now();
    if (ServerState* server = _owner.serverOf(connection)) {
        const bool full = refusal && refusal->fault == StatementFault::ConnectionLimit;
        if (full) {
            server->refusedAbove = server->connections - server->opening;
            server->refusedUntil = now + kConnectionLimitPause;
        } else if (!server->unreachable) {
            server->unreachable = true;
            LogEvent("pooling", LogLevel::Warning, "server.unreachable")
                .field("group", connection.group)
                .field("server", connection.server)
                .field("refusal", refusal ? describe(refusal->fault) : "none");
        }
        server->nextConnect = now + _knobs.reconnectPause;
    }
    forget(connection.id);
}

void ServerConnections::release(ServerConnection& connection, SessionState state) {
    ServerState* server = _owner.serverOf(connection);
    if (server != nullptr && connection.inflight) {
        --server->inflight;
    }
    connection.inflight = false;
    connection.user.reset();
    connection.pinned = false;
    _owner.onRoom(connection.group);
    if (state != SessionState::Idle) {
        rollBack(connection);
        return;
    }
    if (server == nullptr || !server->ready || connection.poisoned) {
        discard(connection.id);
        return;
    }
    connection.state = ServerConnection::State::Idle;
    connection.since = _clock.now();
    server->idle.push_back(connection.id);
}

void ServerConnections::abandon(ServerConnection& connection) {
    connection.user.reset();
    connection.since = _clock.now();
    if (connection.awaited.empty()) {
        rollBack(connection);
    }
}

void ServerConnections::rollBack(ServerConnection& connection) {
    ServerState* server = _owner.serverOf(connection);
    if (server != nullptr && connection.inflight) {
        --server->inflight;
    }
    connection.inflight = false;
    connection.pinned = false;
    connection.user.reset();
    connection.since = _clock.now();
    if (server != nullptr && _owner.isClosed(*server)) {
        discard(connection.id);
        return;
    }
    ServerCommand command;
    command.kind = ServerCommand::Kind::Rollback;
    connection.awaited.push_back(AwaitedResult::Rollback);
    _connector.send(connection.id, {command});
}

void ServerConnections::noteIdleInTransaction(ServerConnection& connection) {
    ServerState* server = _owner.serverOf(connection);
    if (server != nullptr && connection.inflight) {
        connection.inflight = false;
        --server->inflight;
    }
}

void ServerConnections::discard(ConnectionId id) {
    _connector.close(id);
    forget(id);
}

void ServerConnections::forget(ConnectionId id) {
    const auto found = _connections.find(id);
    if (found == _connections.end()) {
        return;
    }
    const ServerConnection& connection = found->second;
    _owner.onForgotten(connection);
    if (ServerState* server = _owner.serverOf(connection)) {
        --server->connections;
        server->opening -= connection.state == ServerConnection::State::Opening ? 1 : 0;
        server->inflight -= connection.inflight ? 1 : 0;
        std::erase(server->idle, id);
        if (server->inflight == 0) {
            server->silentSince.reset();
        }
    }
    _owner.onRoom(connection.group);
    _connections.erase(found);
}

void ServerConnections::discardIdle(ServerState& server) {
    while (!server.idle.empty()) {
        discard(server.idle.back());
    }
}

void ServerConnections::discardUnused(ServerState& server) {
    const TimePoint now = _clock.now();
    const std::vector<ConnectionId> idle = server.idle;
    for (const ConnectionId id : idle) {
        if (now - _connections.at(id).since > _knobs.unusedFor) {
            discard(id);
        }
    }
}

/**
 * Open connections may become silent for good, without a reset, while new ones work. When a
 * statement gets no response, connections that have been idle since before it was sent must respond
 * to a command of the proxy before they serve again; one that does not respond is closed like an
 * abandoned one. Otherwise each of them would cost a read its timeout, and leave the outcome of a
 * write unknown.
 */
void ServerConnections::verifyIdle(ServerState& server, TimePoint since) {
    const TimePoint now = _clock.now();
    if (now < server.nextVerification) {
        return;
    }
    server.nextVerification = now + kVerificationPause;
    const std::vector<ConnectionId> idle = server.idle;
    for (const ConnectionId id : idle) {
        ServerConnection& connection = _connections.at(id);
        if (connection.since < since) {
            std::erase(server.idle, id);
            connection.state = ServerConnection::State::Busy;
            rollBack(connection);
        }
    }
}

std::vector<ConnectionId> ServerConnections::late() const {
    const TimePoint now = _clock.now();
    std::vector<ConnectionId> late;
    for (const auto& [id, connection] : _connections) {
        const Duration age = now - connection.since;
        const bool opening = connection.state == ServerConnection::State::Opening;
        const bool abandoned =
            connection.state == ServerConnection::State::Busy && !connection.user;
        if ((opening && age > _knobs.connectTimeout) || (abandoned && age > _knobs.abandonedFor)) {
            late.push_back(id);
        }
    }
    return late;
}

}  // namespace coralhoist::pooling
