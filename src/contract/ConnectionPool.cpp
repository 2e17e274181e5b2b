#include "contract/ConnectionPool.h"

#include <algorithm>
#include <cassert>

#include "base/Backoff.h"

namespace coralhoist::contract {

ConnectionPool::ConnectionPool(BackendConnector& connector, RandomSource& random,
                               const ExecutorKnobs& knobs)
    : _connector(connector), _random(random), _knobs(knobs) {}

void ConnectionPool::configure(const std::vector<ServerName>& servers,
                               const std::vector<ServerName>& leaving, const PoolLimits& limits) {
    _limits = limits;
    for (const ServerName& name : servers) {
        _servers[name];
    }
    for (auto& [name, server] : _servers) {
        server.member = std::ranges::find(servers, name) != servers.end();
        server.leaving = std::ranges::find(leaving, name) != leaving.end();
        shrink(server);
    }
    std::erase_if(_servers, [](const auto& entry) {
        return !entry.second.member && entry.second.total() == 0;
    });
}

void ConnectionPool::shrink(Server& server) {
    const bool unwanted = !server.member || server.leaving;
    const std::size_t limit = unwanted ? 0 : _limits.connectionsPerServer;
    while (!server.idle.empty() && server.total() > limit) {
        const ConnectionId connection = server.idle.back();
        server.idle.pop_back();
        _connections.erase(connection);
        _connector.close(connection);
    }
}

std::optional<PoolLease> ConnectionPool::acquire(const ServerName& name,
                                                 const Parameters& parameters) {
    const auto found = _servers.find(name);
    if (found == _servers.end() || found->second.idle.empty()) {
        return std::nullopt;
    }
    Server& server = found->second;
    const auto applied = [this](ConnectionId id) -> const Parameters& {
        return _connections.at(id).parameters;
    };
    auto chosen = std::ranges::find(server.idle, parameters, applied);
    if (chosen == server.idle.end()) {
        chosen = std::ranges::find(server.idle, Parameters{}, applied);
    }
    if (chosen == server.idle.end()) {
        return std::nullopt;
    }
    const ConnectionId id = *chosen;
    server.idle.erase(chosen);
    ++server.busy;
    Connection& connection = _connections.at(id);
    connection.state = State::Busy;
    return PoolLease{id, connection.parameters != parameters};
}

std::optional<ConnectionId> ConnectionPool::takeForReset(const ServerName& name) {
    Server& server = _servers.at(name);
    const auto chosen = std::ranges::find_if(
        server.idle, [this](ConnectionId id) { return !_connections.at(id).parameters.empty(); });
    if (chosen == server.idle.end()) {
        return std::nullopt;
    }
    const ConnectionId id = *chosen;
    server.idle.erase(chosen);
    ++server.busy;
    _connections.at(id).state = State::Busy;
    return id;
}

void ConnectionPool::markCancelled(ConnectionId connection) {
    if (const auto found = _connections.find(connection); found != _connections.end()) {
        found->second.cancelled = true;
    }
}

bool ConnectionPool::isCancelled(ConnectionId connection) const {
    const auto found = _connections.find(connection);
    return found != _connections.end() && found->second.cancelled;
}

void ConnectionPool::release(ConnectionId id, Parameters parameters) {
    Connection& connection = _connections.at(id);
    assert(connection.state == State::Busy);
    if (connection.cancelled) {
        discard(id);
        return;
    }
    Server& server = _servers.at(connection.server);
    connection.state = State::Idle;
    connection.parameters = std::move(parameters);
    --server.busy;
    server.idle.push_back(id);
    shrink(server);
}

void ConnectionPool::discard(ConnectionId id) {
    const auto found = _connections.find(id);
    if (found == _connections.end()) {
        return;
    }
    assert(found->second.state == State::Busy);
    --_servers.at(found->second.server).busy;
    _connections.erase(found);
    _connector.close(id);
}

void ConnectionPool::setDemand(const ServerName& server, std::size_t waiting) {
    if (const auto found = _servers.find(server); found != _servers.end()) {
        found->second.demand = waiting;
    }
}

const ServerName& ConnectionPool::serverOf(ConnectionId connection) const {
    return _connections.at(connection).server;
}

void ConnectionPool::onOpened(ConnectionId id) {
    Connection& connection = _connections.at(id);
    Server& server = _servers.at(connection.server);
    std::erase(_opening, id);
    --server.opening;
    server.backoff = Duration(0);
    server.lastAttemptFailed = false;
    connection.state = State::Idle;
    server.idle.push_back(id);
    ++_openedTotal;
    shrink(server);
}

void ConnectionPool::onOpenFailed(ConnectionId id, TimePoint now) {
    Server& server = _servers.at(_connections.at(id).server);
    std::erase(_opening, id);
    _connections.erase(id);
    --server.opening;
    server.lastAttemptFailed = true;
    server.backoff =
        nextBackoff(server.backoff, _knobs.reconnectBackoffMinimum, _knobs.reconnectBackoffMaximum);
    server.nextAttempt = now + withJitter(server.backoff, _random);
    ++_refusedTotal;
}

void ConnectionPool::onLost(ConnectionId id) {
    const auto found = _connections.find(id);
    if (found == _connections.end()) {
        return;
    }
    Server& server = _servers.at(found->second.server);
    if (found->second.state == State::Busy) {
        --server.busy;
    } else {
        std::erase(server.idle, id);
    }
    _connections.erase(found);
}

bool ConnectionPool::wantsConnection(const Server& server) const {
    if (!server.member || server.leaving || server.total() >= _limits.connectionsPerServer ||
        server.opening >= _limits.concurrentConnects) {
        return false;
    }
    const std::size_t wanted = std::max<std::size_t>(server.demand, _limits.warmConnections);
    return server.idle.size() + server.opening < wanted;
}

void ConnectionPool::giveUpLateConnects(TimePoint now) {
    const std::vector<ConnectionId> opening = _opening;
    for (const ConnectionId id : opening) {
        if (now >= _connections.at(id).openedAt + _knobs.connectTimeout) {
            _connector.close(id);
            onOpenFailed(id, now);
        }
    }
}

void ConnectionPool::pump(TimePoint now) {
    giveUpLateConnects(now);
    for (auto& [name, server] : _servers) {
        while (now >= server.nextAttempt && wantsConnection(server)) {
            const ConnectionId id = _connector.open(name);
            _connections.emplace(id, Connection{name, State::Opening, Parameters{}, now, false});
            _opening.push_back(id);
            ++server.opening;
        }
    }
}

std::optional<TimePoint> ConnectionPool::nextTick() const {
    std::optional<TimePoint> next;
    const auto consider = [&next](TimePoint due) { next = next ? std::min(*next, due) : due; };
    for (const ConnectionId id : _opening) {
        consider(_connections.at(id).openedAt + _knobs.connectTimeout);
    }
    for (const auto& [name, server] : _servers) {
        if (wantsConnection(server)) {
            consider(server.nextAttempt);
        }
    }
    return next;
}

bool ConnectionPool::isUnreachable(const ServerName& name) const {
    const auto found = _servers.find(name);
    return found == _servers.end() ||
           (found->second.lastAttemptFailed && found->second.idle.size() + found->second.busy == 0);
}

std::size_t ConnectionPool::available(const ServerName& name) const {
    const auto found = _servers.find(name);
    if (found == _servers.end()) {
        return 0;
    }
    const std::size_t limit = _limits.connectionsPerServer;
    return limit > found->second.busy ? limit - found->second.busy : 0;
}

std::size_t ConnectionPool::openCount(const ServerName& name) const {
    const auto found = _servers.find(name);
    return found == _servers.end() ? 0 : found->second.idle.size() + found->second.busy;
}

std::size_t ConnectionPool::busyCount(const ServerName& name) const {
    const auto found = _servers.find(name);
    return found == _servers.end() ? 0 : found->second.busy;
}

}  // namespace coralhoist::contract
