/** Choice of a server and of a connection to it. */
#include <algorithm>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Cost added to a server that seems to have failed: taken only when there is no other. */
constexpr Duration kSuspectCost = std::chrono::seconds(1);
/** Time over which an unused estimate of latency fades to half. */
constexpr Duration kLatencyFade = std::chrono::milliseconds(500);
/** A connection that has not run anything is not closed for another tenant for so long: its
 * statement takes it within one round of the event loop, 1 ms at most. */
constexpr Duration kUnusedConnectionKept = std::chrono::milliseconds(100);

}  // namespace

ServerState* StatementPooler::chooseServer(GroupState& group, const PooledSession& session,
                                           const Requirement& requirement) {
    ServerState* best = nullptr;
    Duration bestCost{0};
    bool anyCandidate = false;
    for (auto& [name, server] : group.servers) {
        if (!isCandidate(group, server, session, requirement)) {
            continue;
        }
        anyCandidate = true;
        if (!hasRoom(server, session)) {
            continue;
        }
        const Duration cost = costOf(group, server, session.tenant, requirement);
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    Operation& operation = *findSession(session.id)->operation;
    if (best == nullptr) {
        operation.lastObstacle = anyCandidate ? "no_slot" : "no_server";
    }
    if (best == nullptr && anyCandidate) {
        noteNoRoom(group, session);
    }
    if (!anyCandidate && !operation.avoided.empty()) {
        operation.avoided.clear();
    }
    return best;
}

bool StatementPooler::isCandidate(const GroupState& group, const ServerState& server,
                                  const PooledSession& session,
                                  const Requirement& requirement) const {
    const ServerName& name = server.address.server;
    if (requirement.primary) {
        return server.ready && group.leadership.primary()->server == name;
    }
    if (!server.ready || session.operation->avoided.contains(name)) {
        return false;
    }
    const TimePoint now = _clock.now();
    if (server.unreachable && server.idle.empty() && now < server.nextConnect) {
        return false;
    }
    const bool lacks = requirement.floor && now < server.lackedUntil &&
                       server.position < *requirement.floor && server.lacked <= *requirement.floor;
    return !lacks;
}

Duration StatementPooler::costOf(const GroupState& group, const ServerState& server,
                                 const TenantName& tenant, const Requirement& requirement) const {
    const TimePoint now = _clock.now();
    Duration cost = server.latency;
    if (now - server.latencyAt > kLatencyFade) {
        cost /= 2;
    }
    cost += _knobs.inflightPenalty * server.inflight;
    if (server.zone != _knobs.zone) {
        cost += _knobs.otherZonePenalty;
    }
    const std::optional<Primary>& primary = group.leadership.primary();
    if (!requirement.primary && primary && primary->server == server.address.server) {
        cost += _knobs.primaryPenalty;
    }
    if (!hasIdleFor(server, tenant)) {
        cost += _knobs.connectPenalty;
    }
    if (isSuspect(server)) {
        cost += kSuspectCost;
    }
    return cost;
}

bool StatementPooler::hasRoom(const ServerState& server, const PooledSession& session) const {
    if (_clock.now() < server.busyUntil) {
        return false;
    }
    const bool urgent = session.settings.priority == settings::Priority::Urgent;
    const double limit = server.inflightLimit + (urgent ? _knobs.urgentHeadroom : 0);
    if (hasIdleFor(server, session.tenant)) {
        return server.inflight + 1 <= limit && isWithinShare(server, server.inflight);
    }
    // A connection that is being opened occupies a slot like a statement.
    const Operation& operation = *session.operation;
    const std::uint32_t others = server.opening - (isOpening(operation) ? 1 : 0);
    return server.inflight + others + 1 <= limit &&
           isWithinShare(server, server.inflight + others) && mayOpenFor(server, operation);
}

bool StatementPooler::hasIdleFor(const ServerState& server, const TenantName& tenant) const {
    return std::any_of(server.idle.begin(), server.idle.end(),
                       [&](ConnectionId id) { return _connections.at(id).tenant == tenant; });
}

bool StatementPooler::isOpening(const Operation& operation) const {
    if (!operation.opening) {
        return false;
    }
    const auto found = _connections.find(*operation.opening);
    return found != _connections.end() && found->second.state == ServerConnection::State::Opening;
}

/** @return whether a connection for the statement is being opened, or may be. */
bool StatementPooler::mayOpenFor(const ServerState& server, const Operation& operation) const {
    return isOpening(operation) ||
           (mayOpen(server) && (!isFull(server) || replaceable(server).has_value()));
}

/**
 * @return the idle connection of the tenant that uses the group least, to be closed for one of
 * another tenant; of equals the one used the longest ago. Choosing by age alone opened 7% more
 * connections on a day of 84 tenants. One that was opened a moment ago and not
 * used yet is still to serve who it was opened for: without that, two tenants could close each
 * other's connections in turn and run nothing.
 */
std::optional<ConnectionId> StatementPooler::replaceable(const ServerState& server) const {
    const TimePoint now = _clock.now();
    const TenantActivity& activity = _groups.at(server.address.group).activity;
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

bool StatementPooler::isSuspect(const ServerState& server) const {
    const TimePoint now = _clock.now();
    const bool silent = server.silentSince && now - *server.silentSince > _knobs.hedgeAfter;
    return silent || (server.unreachable && server.idle.empty());
}

/**
 * An equal share of what a server takes from all nodes, less one: when all nodes lose power, their
 * connections stand for seconds, and each needs one that it can open again at once.
 */
std::uint32_t StatementPooler::connectionLimit(const GroupName& group) const {
    const auto found = _catalog->groups.find(group);
    if (found == _catalog->groups.end()) {
        return _knobs.connectionsPerServer;
    }
    if (_clock.now() < _startedAt + _knobs.singleConnectionFor) {
        return 1;
    }
    const auto share = static_cast<std::uint32_t>(found->second.connectionsPerServer /
                                                  _placement.executorCount(group));
    const std::uint32_t bound =
        _callersHaveTenants ? _knobs.tenantConnectionsPerServer : _knobs.connectionsPerServer;
    return std::min(bound, std::max<std::uint32_t>(share, 2) - 1);
}

bool StatementPooler::isFull(const ServerState& server) const {
    const bool refused = server.refusedAbove && _clock.now() < server.refusedUntil &&
                         server.connections >= *server.refusedAbove;
    return refused || server.connections >= connectionLimit(server.address.group);
}

bool StatementPooler::mayOpen(const ServerState& server) const {
    return server.ready && _clock.now() >= server.nextConnect &&
           server.opening < _knobs.concurrentConnects;
}

/** @return the connection; none when no further one may be opened now. */
std::optional<ConnectionId> StatementPooler::openConnection(ServerState& server,
                                                            const TenantName& tenant) {
    if (!mayOpen(server)) {
        return std::nullopt;
    }
    if (isFull(server)) {
        const std::optional<ConnectionId> idle = replaceable(server);
        if (!idle) {
            return std::nullopt;
        }
        ++_statistics.connectionsReplaced;
        discard(*idle);
    }
    ++server.opening;
    ++server.connections;
    ++_statistics.connectionsOpened;
    const ConnectionId id = _connector.open(server.address, tenant, *this);
    ServerConnection& connection = _connections[id];
    connection.id = id;
    connection.group = server.address.group;
    connection.server = server.address.server;
    connection.tenant = tenant;
    connection.since = _clock.now();
    return id;
}

/**
 * Of the tenant's connections, prefers one with the session's values in force, then one without
 * any.
 */
ServerConnection* StatementPooler::takeIdle(ServerState& server, const PooledSession& session) {
    auto chosen = server.idle.end();
    for (auto candidate = server.idle.begin(); candidate != server.idle.end(); ++candidate) {
        const ServerConnection& connection = *findConnection(*candidate);
        if (connection.tenant != session.tenant) {
            continue;
        }
        const SessionValues& values = connection.values;
        if (values == session.values) {
            chosen = candidate;
            break;
        }
        if (values.empty() || chosen == server.idle.end()) {
            chosen = candidate;
        }
    }
    if (chosen == server.idle.end()) {
        return nullptr;
    }
    ServerConnection* connection = findConnection(*chosen);
    server.idle.erase(chosen);
    return connection;
}

}  // namespace coralhoist::pooling
