#include "pooling/StatementPooler.h"

#include <utility>

#include "base/Log.h"

namespace coralhoist::pooling {

StatementPooler::StatementPooler(const Clock& clock, ServerConnector& connector,
                                 PoolerOutput& output, PoolerKnobs knobs)
    : _clock(clock),
      _connector(connector),
      _output(output),
      _knobs(std::move(knobs)),
      _catalog(std::make_shared<ServiceCatalog>()),
      _connections(clock, connector, *this, *this, _knobs, _statistics),
      _placement(_knobs.node, _knobs.zone, _knobs.executorsPerZone),
      _startedAt(_clock.now()) {}

void StatementPooler::applyCatalog(std::shared_ptr<const ServiceCatalog> catalog) {
    _catalog = std::move(catalog);
    setLatencyTargets();
    applyQueueSettings();
    settle();
}

/** Applies each group's settings for minimum shares and fair queueing. */
void StatementPooler::applyQueueSettings() {
    for (const auto& [name, settings] : _catalog->groups) {
        GroupState& group = groupNamed(name);
        group.waiting.setMinimumShare(settings.minimumShare);
        group.fairServices = settings.fairServices;
    }
}

void StatementPooler::setLatencyTargets() {
    std::map<GroupName, Duration> least;
    for (const auto& [service, entry] : _catalog->services) {
        Duration& objective =
            least.try_emplace(entry.group, entry.settings.latencyObjective).first->second;
        objective = std::min(objective, entry.settings.latencyObjective);
    }
    for (const auto& [group, objective] : least) {
        groupNamed(group).latencyTarget =
            std::chrono::duration_cast<Duration>(objective * _knobs.latencyTargetShare);
    }
}

/** Only groups whose executors have changed are reviewed, except on the first call. */
void StatementPooler::applyNodes(const std::vector<ProxyNode>& nodes) {
    const std::vector<GroupName> changed = _placement.applyNodes(nodes);
    if (!std::exchange(_nodesKnown, true)) {
        activateAll();
    }
    for (const GroupName& name : changed) {
        GroupState& group = groupNamed(name);
        for (auto& [serverName, server] : group.servers) {
            if (!server.hasAnswered()) {
                server.inflightLimit = initialLimit(name, server);
            }
        }
        _activeGroups.insert(&group);
    }
}

/**
 * The first limit for a server without observations is this node's share of its capacity, because
 * after a restart of all nodes all executors send to the server at once. The limit grows with the
 * server's responses.
 */
double StatementPooler::initialLimit(const GroupName& group, const ServerState& server) const {
    const double capacity = server.slots * _knobs.inflightPerSlot;
    return std::max(1.0, capacity / static_cast<double>(_placement.executorCount(group)));
}

bool StatementPooler::executesHere(const GroupName& group) const {
    return _forwarder == nullptr || _placement.executesHere(group);
}

void StatementPooler::applyDirectory(const ServerDirectory& directory) {
    for (const auto& [name, listed] : directory.groups()) {
        applyServers(name, listed);
    }
}

void StatementPooler::applyServers(const GroupName& name, const ServerDirectory::Servers& listed) {
    const TimePoint now = _clock.now();
    GroupState& group = groupNamed(name);
    group.leadership.onDirectory(listed, now);
    for (const auto& [serverName, entry] : listed) {
        ServerState& server = group.servers[serverName];
        if (!(server.address == entry.announcement.address)) {
            server.unreachable = false;
            server.nextConnect = now;
            server.catchUp = CatchUpEstimate{};
            server.slowness = 1;
            group.outliers.forget(serverName);
        }
        server.address = entry.announcement.address;
        server.zone = entry.announcement.zone;
        server.slots = std::max<std::uint32_t>(1, entry.announcement.slots);
        if (server.inflightLimit < 1) {
            server.inflightLimit = initialLimit(name, server);
        }
        server.ready = !entry.removed && !entry.announcement.draining;
    }
    for (auto& [serverName, server] : group.servers) {
        server.ready = server.ready && listed.contains(serverName);
        if (!server.ready) {
            _connections.discardIdle(server);
        }
    }
    markDirty(group);
    settle();
}

void StatementPooler::applyNotice(const GroupName& group, const PromotionNotice& notice) {
    GroupState& state = groupNamed(group);
    state.leadership.onNotice(notice, _clock.now());
    markDirty(state);
    settle();
}

void StatementPooler::applyProof(const LeadershipProof& proof) {
    _newestProof = proof;
    ++_lastProof;
    for (GroupState* group : _activeGroups) {
        takeNewestProof(*group);
        if (!group->waiting.empty() || !group->unprovenCommits.empty()) {
            markDirty(*group);
        }
    }
    settle();
}

/**
 * Confirms the group's primary by the newest proof. The proof is valid for a group if it contains
 * the newest known version of the group's record, at whatever time it is applied.
 */
void StatementPooler::takeNewestProof(GroupState& group) {
    if (group.proofTaken != _lastProof) {
        group.proofTaken = _lastProof;
        group.leadership.confirmByRecord(_newestProof->versionOf(group.name),
                                         _newestProof->provenAt);
    }
}

void StatementPooler::confirmLeadership(const GroupName& group, TimePoint askedAt) {
    GroupState& state = groupNamed(group);
    if (const std::optional<Primary>& primary = state.leadership.primary()) {
        state.leadership.confirm(*primary, askedAt);
        markDirty(state);
        settle();
    }
}

bool StatementPooler::hasService(const ServiceName& service) const {
    return _catalog->find(service) != nullptr;
}

SessionId StatementPooler::openSession(const ServiceName& service, const TenantName& tenant) {
    const CatalogEntry* entry = _catalog->find(service);
    const SessionId id(++_lastSession);
    PooledSession& session = _sessions[id];
    session.id = id;
    session.service = service;
    session.tenant = tenant;
    session.activeAt = _clock.now();
    if (entry != nullptr) {
        session.group = entry->group;
        session.settings = entry->settings;
    }
    return id;
}

void StatementPooler::setRegions(const locality::RegionMap& regions,
                                 const locality::PlaceDistances& distances) {
    _placement.setRegions(regions);
    _distances = &distances;
    _placement.setExecutorsPerZone(executorsPerZone());
    activateAll();
}

void StatementPooler::setCallersHaveTenants(bool haveTenants) {
    if (_callersHaveTenants != haveTenants) {
        _callersHaveTenants = haveTenants;
        _placement.setExecutorsPerZone(executorsPerZone());
        activateAll();
    }
}

std::uint32_t StatementPooler::executorsPerZone() const {
    const bool hasRegions = _distances != nullptr;
    const std::uint32_t most =
        hasRegions ? _knobs.regionalExecutorsPerZone : _knobs.executorsPerZone;
    return _callersHaveTenants ? _knobs.tenantExecutorsPerZone : most;
}

void StatementPooler::setTenant(SessionId id, const TenantName& tenant) {
    if (PooledSession* session = findSession(id)) {
        session->tenant = tenant;
    }
}

void StatementPooler::expectStatement(SessionId id) {
    if (PooledSession* session = findSession(id)) {
        session->expectsStatement = true;
    }
}

void StatementPooler::endSession(SessionId id) {
    PooledSession* session = findSession(id);
    if (session == nullptr) {
        return;
    }
    std::optional<ConnectionId> connection = session->transaction.connection;
    if (session->operation && session->operation->phase != OperationPhase::Queued) {
        connection = session->operation->connection;
    }
    endUnit(session->operation ? session->operation->unit : session->transaction.unit);
    groupOf(*session).waiting.remove(id);
    _openTransactions.erase(id);
    _sessions.erase(id);
    ServerConnection* used = connection ? _connections.find(*connection) : nullptr;
    if (used != nullptr && used->user == id) {
        _connections.abandon(*used);
    }
    settle();
}

SessionState StatementPooler::stateOfSession(SessionId id) const {
    const auto found = _sessions.find(id);
    return found == _sessions.end() ? SessionState::Idle : stateOf(found->second);
}

void StatementPooler::closeIdleSessions(Duration idleFor) {
    const TimePoint now = _clock.now();
    for (const auto& [id, session] : _sessions) {
        const bool busy = session.operation || session.expectsStatement ||
                          session.transaction.phase != TransactionPhase::None;
        if (!busy && now - session.activeAt >= idleFor) {
            _closing.push_back(id);
        }
    }
    settle();
}

std::optional<Primary> StatementPooler::primaryOf(const GroupName& group) const {
    const auto found = _groups.find(group);
    return found == _groups.end() ? std::nullopt : found->second.leadership.primary();
}

std::map<ZoneName, ZoneLoad> StatementPooler::loadByZone() const {
    std::map<ZoneName, ZoneLoad> loads;
    for (const auto& [name, group] : _groups) {
        for (const auto& [id, server] : group.servers) {
            ZoneLoad& load = loads[server.zone];
            load.inFlight += server.inflight;
            load.primaries += server.ready && isPrimary(group, server) ? 1 : 0;
        }
    }
    for (const auto& [id, connection] : _connections.all()) {
        const auto group = _groups.find(connection.group);
        if (!connection.pinned || group == _groups.end()) {
            continue;
        }
        const auto server = group->second.servers.find(connection.server);
        if (server != group->second.servers.end()) {
            ++loads[server->second.zone].transactions;
        }
    }
    return loads;
}

void StatementPooler::settle() {
    if (_settling) {
        return;
    }
    _settling = true;
    bool again = true;
    while (again) {
        again = false;
        dispatchDirty();
        if (!_replies.empty() || !_closing.empty()) {
            flushReplies();
            again = true;
        }
    }
    _settling = false;
}

/**
 * A group that its own dispatch marks again is left for the next event, so that a server that
 * refuses immediately can't block the loop.
 */
void StatementPooler::dispatchDirty() {
    for (auto next = _dirtyGroups.begin(); next != _dirtyGroups.end();) {
        GroupState* group = *next;
        _dirtyGroups.erase(next);
        dispatch(*group);
        next = _dirtyGroups.upper_bound(group);
    }
}

/** Sends the pending replies. The list of replies is moved away first, because callers may submit
 * their next statement from within a reply. */
void StatementPooler::flushReplies() {
    std::vector<PendingReply> replies;
    replies.swap(_replies);
    for (PendingReply& pending : replies) {
        _output.reply(pending.session, std::move(pending.result));
    }
    if (!_replies.empty()) {
        // A session is closed after the replies to all statements that it has sent.
        return;
    }
    std::vector<SessionId> closing;
    closing.swap(_closing);
    for (const SessionId id : closing) {
        const PooledSession* session = findSession(id);
        if (session != nullptr && !session->operation && !session->expectsStatement) {
            _output.closeSession(id);
        }
    }
}

StatementPooler::GroupState& StatementPooler::groupNamed(const GroupName& name) {
    const auto [entry, added] = _groups.try_emplace(name);
    if (added) {
        entry->second.name = name;
    }
    return entry->second;
}

void StatementPooler::markDirty(GroupState& group) {
    _dirtyGroups.insert(&group);
    _activeGroups.insert(&group);
}

void StatementPooler::activateAll() {
    for (auto& [name, group] : _groups) {
        _activeGroups.insert(&group);
    }
}

ServerState* StatementPooler::serverOf(const ServerConnection& connection) {
    const auto group = _groups.find(connection.group);
    if (group == _groups.end()) {
        return nullptr;
    }
    const auto server = group->second.servers.find(connection.server);
    return server == group->second.servers.end() ? nullptr : &server->second;
}

PooledSession* StatementPooler::findSession(SessionId id) {
    const auto found = _sessions.find(id);
    return found == _sessions.end() ? nullptr : &found->second;
}

bool StatementPooler::isClosed(const ServerState& server) {
    return _policy != nullptr &&
           _policy->isClosed(placedServer(groupNamed(server.address.group), server));
}

void StatementPooler::onForgotten(const ServerConnection& connection) {
    groupNamed(connection.group).primaryWatch.noteAnswered(connection.id);
}

namespace {

std::int64_t milliseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

/** Logs where the time was spent when a response missed the service's latency objective. */
void StatementPooler::logSlow(const PooledSession& session) {
    const Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    LogEvent("pooling", LogLevel::Info, "request.slow")
        .field("request", operation.statement.id)
        .field("service", session.service)
        .field("group", session.group)
        .field("server", operation.server)
        .field("attempts", operation.attempts)
        .field("obstacle", operation.lastObstacle)
        .field("waited_ms", milliseconds(operation.sentAt - operation.arrivedAt))
        .field("server_ms", milliseconds(now - operation.sentAt));
}

bool StatementPooler::mayLogAnswers(const PooledSession& session) const {
    return _policy == nullptr || _policy->mayLogAnswers(placedUnit(session, false));
}

void StatementPooler::logFailure(const PooledSession& session, StatementFault fault,
                                 const std::string& message) {
    if (!session.operation) {
        return;
    }
    const Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    const GroupState& group = groupOf(session);
    const std::optional<Primary>& primary = group.leadership.primary();
    LogEvent(
        session.transaction.phase == TransactionPhase::None ? "pooling" : "pooling.transaction",
        LogLevel::Warning, "request.failed")
        .field("request", operation.statement.id)
        .field("service", session.service)
        .field("group", session.group)
        .field("tenant", session.tenant)
        .field("fault", describe(fault))
        .field("why", mayLogAnswers(session) ? message : std::string("withheld"))
        .field("obstacle", operation.lastObstacle)
        .field("server", operation.server)
        .field("attempts", operation.attempts)
        .field("age_ms", milliseconds(now - operation.arrivedAt))
        .field("asked_ms", milliseconds(now - operation.firstRequestedAt))
        .field("forecast_ms", milliseconds(operation.forecast))
        .field("primary", primary ? primary->server.value() : std::string("none"))
        .field("term", group.leadership.newestTerm())
        .field("settings_version", _catalog->version);
}

}  // namespace coralhoist::pooling
