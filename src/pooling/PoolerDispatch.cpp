/** Choice of server and connection for statements that wait. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Cost added to a server that seems to have failed: taken only when there is no other. */
constexpr Duration kSuspectCost = std::chrono::seconds(1);
/** A statement that has waited for a proof of leadership for so long goes to another node. */
constexpr Duration kProofPatience = std::chrono::milliseconds(100);
/** Time over which an unused estimate of latency fades to half. */
constexpr Duration kLatencyFade = std::chrono::milliseconds(500);

}  // namespace

void StatementPooler::enqueue(PooledSession& session) {
    if (forward(session)) {
        return;
    }
    GroupState& group = groupOf(session);
    session.operation->phase = OperationPhase::Queued;
    const bool urgent = session.settings.priority == settings::Priority::Urgent;
    (urgent ? group.urgent : group.ordinary).push_back(session.id);
    group.dirty = true;
    wakeAt(session, session.operation->holdUntil);
}

void StatementPooler::dispatch(const GroupName& /*name*/, GroupState& group) {
    dispatchQueue(group, group.urgent);
    dispatchQueue(group, group.ordinary);
}

UnitKind StatementPooler::unitKindOf(const PooledSession& session) {
    if (session.transaction.phase != TransactionPhase::None) {
        return UnitKind::Transaction;
    }
    return session.operation->writes ? UnitKind::Write : UnitKind::Read;
}

/**
 * Statements that can still meet their objective go first; those that have waited too long for that
 * take what is left. Otherwise an overload would make every statement late. Among the former, those
 * that are expected to occupy a slot for the least time go first, so that an overload leaves the
 * fewest unserved.
 */
void StatementPooler::sortQueue(const GroupState& group, std::vector<SessionId>& queue) {
    struct Entry {
        bool late = false;
        Duration expected{0};
        SessionId session;
    };
    std::vector<Entry> entries;
    entries.reserve(queue.size());
    for (const SessionId id : queue) {
        const PooledSession* session = findSession(id);
        if (session == nullptr || !isQueued(*session)) {
            continue;
        }
        Entry entry{!isOnTime(*session), Duration(0), id};
        if (_knobs.orderBySlotTime > 0 && !entry.late) {
            entry.expected = group.slotTimes.expected(session->service, unitKindOf(*session));
        }
        entries.push_back(entry);
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry& left, const Entry& right) {
        return left.late != right.late ? right.late : left.expected < right.expected;
    });
    queue.clear();
    for (const Entry& entry : entries) {
        queue.push_back(entry.session);
    }
}

void StatementPooler::dispatchQueue(GroupState& group, std::vector<SessionId>& queue) {
    sortQueue(group, queue);
    // A session that was refused and asked again at once stands here twice: once it is placed, its
    // other entry is void.
    std::erase_if(queue, [this, &group](SessionId id) {
        PooledSession& session = *findSession(id);
        return !isQueued(session) || place(group, session);
    });
}

bool StatementPooler::isQueued(const PooledSession& session) const {
    return session.operation && session.operation->phase == OperationPhase::Queued &&
           session.transaction.phase != TransactionPhase::Open;
}

bool StatementPooler::isOnTime(const PooledSession& session) const {
    const auto allowance = std::chrono::duration_cast<Duration>(session.settings.latencyObjective *
                                                                _knobs.onTimeShare);
    return _clock.now() - session.operation->arrivedAt < allowance;
}

/** @return whether the statement no longer waits. */
bool StatementPooler::place(GroupState& group, PooledSession& session) {
    Operation& operation = *session.operation;
    if (_clock.now() < operation.notBefore) {
        return false;
    }
    const Requirement requirement = requirementOf(group, session);
    if (requirement.primary && isBetterElsewhere(group, operation) && forwardToOther(session)) {
        return true;
    }
    if (requirement.impossible) {
        return false;
    }
    ServerState* server = chooseServer(group, session, requirement);
    if (server == nullptr) {
        return false;
    }
    ServerConnection* connection = takeIdle(*server, session);
    if (connection == nullptr) {
        operation.lastObstacle = "no_connection";
        openConnection(*server);
        return false;
    }
    start(group, *server, *connection, session, requirement);
    return true;
}

StatementPooler::Requirement StatementPooler::requirementOf(GroupState& group,
                                                            PooledSession& session) {
    const bool opensTransaction = session.transaction.phase == TransactionPhase::Unstarted;
    const bool mayChange =
        session.operation->writes ||
        (opensTransaction && session.transaction.begin.verb == StatementVerb::Begin);
    if (mayChange || session.settings.readRouting == settings::ReadRouting::Primary) {
        return primaryRequirement(group, session);
    }
    const Requirement read = readRequirement(group, session);
    return read.impossible ? primaryRequirement(group, session) : read;
}

StatementPooler::Requirement StatementPooler::readRequirement(GroupState& group,
                                                              const PooledSession& session) const {
    Requirement requirement;
    const Duration staleness = session.settings.maxStaleness.value_or(Duration(0));
    const std::optional<OpTime> floor =
        group.floors.covering(session.operation->consistentSince - staleness);
    if (!floor) {
        requirement.impossible = true;
        return requirement;
    }
    requirement.floor = std::max(*floor, session.ownFloor);
    return requirement;
}

StatementPooler::Requirement StatementPooler::primaryRequirement(GroupState& group,
                                                                 PooledSession& session) {
    Requirement requirement;
    requirement.primary = true;
    Operation& operation = *session.operation;
    const LeadershipTracker& leadership = group.leadership;
    if (!leadership.primary()) {
        operation.lastObstacle = "no_primary";
        requirement.impossible = true;
        return requirement;
    }
    const bool opensTransaction = session.transaction.phase == TransactionPhase::Unstarted;
    const bool mayCommit =
        operation.writes ||
        (opensTransaction && session.transaction.begin.verb == StatementVerb::Begin);
    const TimePoint now = _clock.now();
    if (mayCommit && !leadership.mayWrite(now)) {
        operation.lastObstacle = "promotion_settling";
        wakeAt(session, leadership.writableFrom());
        requirement.impossible = true;
        return requirement;
    }
    const bool reads = opensTransaction || !operation.writes;
    if (reads && !leadership.isCertainFor(operation.consistentSince)) {
        operation.lastObstacle = "leadership_unproven";
        ++_statistics.proofsWanted;
        _output.wantLeadershipProof(session.group);
        requirement.impossible = true;
        return requirement;
    }
    if (session.ownFloor.term > 0 && !operation.writes) {
        requirement.floor = session.ownFloor;
    }
    return requirement;
}

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
    const bool urgent = session.settings.priority == settings::Priority::Urgent;
    const double limit = server.inflightLimit + (urgent ? _knobs.urgentHeadroom : 0);
    return server.inflight + 1 <= limit && (!server.idle.empty() || mayOpen(server));
}

/**
 * @return whether a statement that needs the primary may fare better on another node: the primary
 * is silent or out of reach from here, has no connection left for this process, or its leadership
 * can't be proven here. The others may see the same, but then nothing is lost.
 */
bool StatementPooler::isBetterElsewhere(const GroupState& group,
                                        const Operation& operation) const {
    if (_knobs.forwardWhenRefused == 0 || !group.leadership.primary()) {
        return false;
    }
    const TimePoint now = _clock.now();
    if (!operation.writes && !group.leadership.isCertainFor(operation.consistentSince)) {
        return now - operation.arrivedAt > kProofPatience;
    }
    const auto found = group.servers.find(group.leadership.primary()->server);
    if (found == group.servers.end()) {
        return false;
    }
    const ServerState& server = found->second;
    const bool refused =
        server.connections == 0 && server.refusedAbove && now < server.refusedUntil;
    return refused || isSuspect(server);
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

void StatementPooler::start(GroupState& group, ServerState& server, ServerConnection& connection,
                            PooledSession& session, const Requirement& requirement) {
    Operation& operation = *session.operation;
    connection.state = ServerConnection::State::Busy;
    connection.user = session.id;
    connection.inflight = true;
    ++server.inflight;
    operation.server = server.address.server;
    operation.connection = connection.id;
    operation.floor = requirement.floor.value_or(OpTime{});
    const bool atPrimary =
        group.leadership.primary() && group.leadership.primary()->server == server.address.server;
    ++(atPrimary ? _statistics.primaryStatements : _statistics.replicaReads);
    std::vector<ServerCommand> commands = alignValues(connection, session);
    if (session.transaction.phase != TransactionPhase::Unstarted) {
        sendStatement(connection, session, std::move(commands));
        return;
    }
    // The statement follows once BEGIN has succeeded: it must not run outside the transaction.
    operation.phase = OperationPhase::Beginning;
    operation.sentAt = _clock.now();
    ServerCommand begin;
    begin.id = session.transaction.begin.id;
    begin.text = session.transaction.begin.text;
    if (operation.floor.term > 0) {
        begin.after = operation.floor;
    }
    commands.push_back(std::move(begin));
    connection.awaited.push_back(AwaitedResult::Begin);
    if (!server.silentSince) {
        server.silentSince = operation.sentAt;
    }
    _connector.send(connection.id, commands);
    wakeAt(session, operation.deadline);
}

std::vector<ServerCommand> StatementPooler::alignValues(ServerConnection& connection,
                                                        const PooledSession& session) {
    std::vector<ServerCommand> commands;
    const auto isForeign = [&session](const auto& value) {
        return !session.values.contains(value.first);
    };
    const bool crowded = connection.prepared.size() > _knobs.preparedPerConnection;
    if (!connection.pinned &&
        (crowded || std::any_of(connection.values.begin(), connection.values.end(), isForeign))) {
        ServerCommand reset;
        reset.kind = ServerCommand::Kind::Reset;
        commands.push_back(std::move(reset));
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : session.values) {
        const auto found = connection.values.find(name);
        if (found != connection.values.end() && found->second == value) {
            continue;
        }
        ServerCommand set;
        set.kind = ServerCommand::Kind::Set;
        set.name = name;
        set.argument = value;
        commands.push_back(std::move(set));
    }
    connection.values = session.values;
    connection.awaited.insert(connection.awaited.end(), commands.size(),
                              AwaitedResult::Housekeeping);
    return commands;
}

void StatementPooler::alignPrepared(ServerConnection& connection, const PooledSession& session,
                                    std::vector<ServerCommand>& commands) {
    const Statement& statement = session.operation->statement;
    if (statement.verb != StatementVerb::Execute) {
        return;
    }
    const PreparedShape& shape = session.prepared.at(statement.name);
    if (!connection.prepared.insert(shape.serverName).second) {
        return;
    }
    ServerCommand prepare;
    prepare.kind = ServerCommand::Kind::Prepare;
    prepare.name = shape.serverName;
    prepare.argument = shape.shape;
    prepare.shapeKind = shape.kind;
    commands.push_back(std::move(prepare));
    connection.awaited.push_back(AwaitedResult::Housekeeping);
}

ServerCommand StatementPooler::callerCommand(const PooledSession& session) const {
    const Operation& operation = *session.operation;
    ServerCommand command;
    command.id = operation.statement.id;
    command.text = operation.statement.text;
    if (operation.statement.verb == StatementVerb::Execute) {
        command.kind = ServerCommand::Kind::Execute;
        command.name = session.prepared.at(operation.statement.name).serverName;
        command.argument = operation.statement.argument;
    }
    const bool conditional =
        session.transaction.phase == TransactionPhase::None && !operation.writes;
    if (conditional && operation.floor.term > 0) {
        command.after = operation.floor;
    }
    return command;
}

void StatementPooler::sendStatement(ServerConnection& connection, PooledSession& session,
                                    std::vector<ServerCommand> commands) {
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    alignPrepared(connection, session, commands);
    commands.push_back(callerCommand(session));
    connection.awaited.push_back(AwaitedResult::Statement);
    operation.phase = OperationPhase::Sent;
    operation.connection = connection.id;
    operation.server = connection.server;
    operation.sentAt = now;
    ServerState* server = serverOf(connection);
    if (server != nullptr && !server->silentSince) {
        server->silentSince = now;
    }
    const bool commits =
        session.transaction.phase == TransactionPhase::None
            ? operation.writes
            : operation.statement.verb == StatementVerb::Commit && session.transaction.wrote;
    if (commits) {
        groupOf(session).pendingWrites[connection.id] = now;
    }
    session.transaction.wrote = session.transaction.wrote || operation.writes;
    _connector.send(connection.id, commands);
    const bool mayHedge = session.transaction.phase == TransactionPhase::None && !operation.writes;
    wakeAt(session, mayHedge ? now + _knobs.hedgeAfter : operation.deadline);
}

void StatementPooler::sendInTransaction(PooledSession& session) {
    ServerConnection* connection = findConnection(*session.transaction.connection);
    if (connection == nullptr) {
        failTransaction(session);
        replyError(session, StatementFault::Aborted, "the connection of the transaction was lost");
        return;
    }
    if (ServerState* server = serverOf(*connection)) {
        ++server->inflight;
        connection->inflight = true;
    }
    sendStatement(*connection, session, alignValues(*connection, session));
}

bool StatementPooler::keepsWarm(const GroupName& group) const {
    return _forwarder == nullptr || (_nodesKnown && _placement.executesHere(group));
}

/** Closes what this node keeps open to servers whose statements other nodes execute. */
void StatementPooler::releaseUnused(GroupState& group, TimePoint now) {
    for (auto& [name, server] : group.servers) {
        const std::vector<ConnectionId> idle = server.idle;
        for (const ConnectionId id : idle) {
            if (now - findConnection(id)->since > _knobs.unusedFor) {
                discard(id);
            }
        }
    }
}

/** One connection to each server stands ready, also to one that may become the primary. */
void StatementPooler::keepWarm(GroupState& group) {
    for (auto& [name, server] : group.servers) {
        if (server.connections == 0) {
            openConnection(server);
        }
    }
}

}  // namespace coralhoist::pooling
