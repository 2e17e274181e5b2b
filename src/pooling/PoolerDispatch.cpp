/** Choice of a server and of a connection to it. */
#include <algorithm>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Cost added to a server that seems to have failed: taken only when there is no other. */
constexpr Duration kSuspectCost = std::chrono::seconds(1);
/** Time over which an unused estimate of latency fades to half. */
constexpr Duration kLatencyFade = std::chrono::milliseconds(500);

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
        const Duration cost = costOf(group, server, requirement);
        if (best == nullptr || cost < bestCost) {
            best = &server;
            bestCost = cost;
        }
    }
    Operation& operation = *findSession(session.id)->operation;
    if (best == nullptr) {
        operation.lastObstacle = anyCandidate ? "no_slot" : "no_server";
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
                                 const Requirement& requirement) const {
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
    return server.inflight + 1 <= limit && (!server.idle.empty() || mayOpen(server));
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
    return std::min(_knobs.connectionsPerServer, std::max<std::uint32_t>(share, 2) - 1);
}

bool StatementPooler::mayOpen(const ServerState& server) const {
    const TimePoint now = _clock.now();
    const bool refused = server.refusedAbove && now < server.refusedUntil &&
                         server.connections >= *server.refusedAbove;
    return server.ready && !refused && now >= server.nextConnect &&
           server.connections < connectionLimit(server.address.group) &&
           server.opening < _knobs.concurrentConnects;
}

void StatementPooler::openConnection(ServerState& server) {
    if (!mayOpen(server)) {
        return;
    }
    ++server.opening;
    ++server.connections;
    ++_statistics.connectionsOpened;
    const ConnectionId id = _connector.open(server.address, *this);
    ServerConnection& connection = _connections[id];
    connection.id = id;
    connection.group = server.address.group;
    connection.server = server.address.server;
    connection.since = _clock.now();
}

/** Prefers a connection with the session's values in force, then one without any. */
ServerConnection* StatementPooler::takeIdle(ServerState& server, const PooledSession& session) {
    if (server.idle.empty()) {
        return nullptr;
    }
    auto chosen = std::prev(server.idle.end());
    for (auto candidate = server.idle.begin(); candidate != server.idle.end(); ++candidate) {
        const SessionValues& values = findConnection(*candidate)->values;
        if (values == session.values) {
            chosen = candidate;
            break;
        }
        if (values.empty()) {
            chosen = candidate;
        }
    }
    ServerConnection* connection = findConnection(*chosen);
    server.idle.erase(chosen);
    return connection;
}

}  // namespace coralhoist::pooling
