/** Deadlines of statements, idle transactions, and detection of failed servers. */
#include <algorithm>
#include <utility>
#include <vector>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Interval of the periodic review of servers and transactions. */
constexpr Duration kRound = std::chrono::milliseconds(50);
/** Freshness samples older than this are not used for reads. */
constexpr Duration kFloorRetention = std::chrono::seconds(10);
/** Interval between two log events on the load of a server. */
constexpr Duration kReportEvery = std::chrono::seconds(2);

}  // namespace

std::optional<TimePoint> StatementPooler::nextTick() const {
    TimePoint next = _nextRound;
    if (!_wakes.empty()) {
        next = std::min(next, _wakes.top().at);
    }
    return next;
}

void StatementPooler::wakeAt(const PooledSession& session, TimePoint at) {
    _wakes.push({at, session.id, session.operation ? session.operation->serial : 0});
}

void StatementPooler::onTick() {
    const TimePoint now = _clock.now();
    while (!_wakes.empty() && _wakes.top().at <= now) {
        const Wake wake = _wakes.top();
        _wakes.pop();
        PooledSession* session = findSession(wake.session);
        if (session != nullptr && session->operation && session->operation->serial == wake.serial) {
            review(*session, now);
        }
    }
    if (now >= _nextRound) {
        _nextRound = now + kRound;
        runRound(now);
    }
    settle();
}

void StatementPooler::review(PooledSession& session, TimePoint now) {
    switch (session.operation->phase) {
        case OperationPhase::Queued:
            reviewQueued(session, now);
            return;
        case OperationPhase::Beginning:
        case OperationPhase::Sent:
            if (session.operation->unit) {
                reviewForwarded(session, now);
            } else {
                reviewSent(session, now);
            }
            return;
        case OperationPhase::Acknowledged:
            reviewAcknowledged(session, now);
            return;
    }
}

void StatementPooler::reviewQueued(PooledSession& session, TimePoint now) {
    Operation& operation = *session.operation;
    const bool open = session.transaction.phase == TransactionPhase::Open;
    if (open && now >= operation.notBefore) {
        sendInTransaction(session);
        return;
    }
    if (open || now < operation.holdUntil) {
        markDirty(session.group);
        return;
    }
    refuseAsBusy(session);
}

/**
 * The response is overdue if the server sends no response at all, or if it responds to others while
 * this statement takes several times as long: then the response or the connection is lost.
 */
bool StatementPooler::isAnswerOverdue(const Operation& operation, const ServerState* server) const {
    if (server == nullptr) {
        return true;
    }
    const TimePoint now = _clock.now();
    const bool silent = server->silentSince && now - *server->silentSince >= _knobs.hedgeAfter;
    const Duration responseTimeout =
        std::max(_knobs.hedgeAfter, server->latency * _knobs.hedgeAfterLatencies) +
        wayTo(*server).roundTrip;
    return silent || now - operation.sentAt >= responseTimeout;
}

void StatementPooler::reviewSent(PooledSession& session, TimePoint now) {
    Operation& operation = *session.operation;
    ServerConnection* connection = _connections.find(operation.connection);
    const bool readsOnly = isSingleRead(session);
    if (now < operation.deadline) {
        ServerState* server = connection != nullptr ? serverOf(*connection) : nullptr;
        const bool overdue = isAnswerOverdue(operation, server);
        if (overdue && server != nullptr) {
            _connections.verifyIdle(*server, operation.sentAt);
        }
        const bool mayHedge = readsOnly && operation.attempts < _knobs.hedgesPerRead;
        if (mayHedge && overdue && now < operation.holdUntil) {
            ++_statistics.hedges;
            noteRequestLost(server);
            if (connection != nullptr) {
                _connections.abandon(*connection);
            }
            requeue(session, "server_silent");
            return;
        }
        wakeAt(session, mayHedge || !overdue
                            ? std::min(operation.deadline, now + _knobs.hedgeAfter / 2)
                            : operation.deadline);
        return;
    }
    giveUp(session, operation.phase == OperationPhase::Beginning
                        ? "the server did not open the transaction"
                        : "no answer within the statement timeout");
}

void StatementPooler::runRound(TimePoint now) {
    endIdleTransactions(now);
    closeLateConnections();
    const bool report = now >= _nextReport;
    _nextReport = report ? now + kReportEvery : _nextReport;
    _statistics.groupsSharing = 0;
    for (auto next = _activeGroups.begin(); next != _activeGroups.end();) {
        GroupState& group = **next;
        if (report) {
            reportServers(group.name, group);
        }
        next = reviewGroup(group, now) ? std::next(next) : _activeGroups.erase(next);
    }
}

/** @return whether the next round has to visit the group again even without an event. */
bool StatementPooler::reviewGroup(GroupState& group, TimePoint now) {
    ++_statistics.groupsVisited;
    group.floors.dropBefore(now - kFloorRetention);
    reviewOutliers(group.name, group);
    updateShares(group.name, group, now);
    const bool isSuspect = watchPrimary(group, now);
    const bool isWarm = keepsWarm(group.name);
    if (isWarm) {
        keepWarm(group);
    } else {
        releaseUnused(group);
    }
    const bool awaitsEvents = !group.waiting.empty() || !group.unprovenCommits.empty();
    if (awaitsEvents) {
        markDirty(group);
    }
    return isWarm || isSuspect || awaitsEvents || hasConnections(group) || group.floors.mayDrop() ||
           !group.outliers.admitsAll() || group.shares.isOverloaded(now) || group.shares.inForce();
}

bool StatementPooler::hasConnections(const GroupState& group) {
    return std::any_of(group.servers.begin(), group.servers.end(),
                       [](const auto& entry) { return entry.second.connections > 0; });
}

/** Logs for each server the load from this process and the outcomes. */
void StatementPooler::reportServers(const GroupName& name, GroupState& group) {
    const std::optional<Primary>& primary = group.leadership.primary();
    for (auto& [serverName, server] : group.servers) {
        LogEvent("pooling", LogLevel::Debug, "server.load")
            .field("group", name)
            .field("server", serverName)
            .field("primary", primary && primary->server == serverName)
            .field("ready", server.ready)
            .field("connections", server.connections)
            .field("idle", server.idle.size())
            .field("inflight", server.inflight)
            .field("limit", server.inflightLimit)
            .field("latency_us",
                   std::chrono::duration_cast<std::chrono::microseconds>(server.latency).count())
            .field("succeeded", server.succeeded)
            .field("busy", server.refusedBusy)
            .field("lagging", server.refusedLagging)
            .field("position", server.catchUp.position().position)
            .field("lag_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                 server.catchUp.lagAt(_clock.now()))
                                 .count())
            .field("urgent_waiting", group.waiting.sizeOf(0))
            .field("waiting", group.waiting.size());
        server.succeeded = 0;
        server.refusedBusy = 0;
        server.refusedLagging = 0;
    }
}

void StatementPooler::endIdleTransactions(TimePoint now) {
    std::vector<SessionId> idleSessions;
    for (const SessionId id : _openTransactions) {
        const PooledSession& session = _sessions.at(id);
        const Duration idleFor = now - session.transaction.lastActivity;
        const bool open = session.transaction.phase == TransactionPhase::Open;
        if (open && !session.operation && idleFor > session.settings.idleInTransactionTimeout) {
            idleSessions.push_back(id);
        }
    }
    for (const SessionId id : idleSessions) {
        endTransaction(_sessions.at(id), "idle in transaction for too long");
    }
}

void StatementPooler::reviewPlacement() {
    std::vector<std::pair<SessionId, const char*>> ending;
    for (const SessionId id : _openTransactions) {
        const PooledSession& session = _sessions.at(id);
        const bool isIdle = session.transaction.phase == TransactionPhase::Open &&
                            session.transaction.connection && !session.operation;
        const ServerConnection* connection =
            isIdle ? _connections.find(*session.transaction.connection) : nullptr;
        const ServerState* server = connection == nullptr ? nullptr : serverOf(*connection);
        if (_policy == nullptr || server == nullptr) {
            continue;
        }
        const GroupState& group = groupOf(session);
        const PlacementVerdict verdict = _policy->mayStayIdle(
            placedUnit(session, isPrimary(group, *server)), placedServer(group, *server));
        if (verdict.isForbidden()) {
            ending.emplace_back(id, verdict.reason);
        }
    }
    for (const auto& [id, reason] : ending) {
        ++_statistics.transactionsEndedByPlacement;
        ++_statistics.endedByReason[reason];
        endTransaction(_sessions.at(id), reason);
    }
    for (auto& [name, group] : _groups) {
        markDirty(group);
    }
    settle();
}

void StatementPooler::restartSlowStart(const GroupName& group, const ServerName& server) {
    const auto found = _groups.find(group);
    if (found == _groups.end()) {
        return;
    }
    if (const auto state = found->second.servers.find(server);
        state != found->second.servers.end()) {
        state->second.inflightLimit = 1;
        state->second.slowness = 1;
        markDirty(found->second);
    }
}

/**
 * Ends a transaction between two of its statements: the reply to the next statement reports the
 * rollback.
 */
void StatementPooler::endTransaction(PooledSession& session, const char* reason) {
    ServerConnection* connection = session.transaction.connection
                                       ? _connections.find(*session.transaction.connection)
                                       : nullptr;
    LogEvent("pooling.transaction", LogLevel::Info, "transaction.ended")
        .field("request", session.transaction.begin.id)
        .field("group", session.group)
        .field("why", reason);
    failTransaction(session);
    if (connection != nullptr) {
        _connections.rollBack(*connection);
    }
}

/** @return whether the primary shows signs of failure. */
bool StatementPooler::watchPrimary(GroupState& group, TimePoint now) {
    const std::optional<Primary> primary = group.leadership.primary();
    if (!primary) {
        return false;
    }
    const ServerState& server = group.servers[primary->server];
    const auto reason = group.primaryWatch.review(server, _knobs.suspectAfter, now);
    if (reason) {
        _output.suspectPrimary(group.name, primary->server, *reason);
    }
    return reason.has_value();
}

void StatementPooler::closeLateConnections() {
    for (const ConnectionId id : _connections.late()) {
        const ServerConnection& connection = *_connections.find(id);
        if (connection.state == ServerConnection::State::Opening) {
            _connector.close(id);
            onOpenFailed(id, std::nullopt);
            continue;
        }
        const GroupName group = connection.group;
        const ServerName server = connection.server;
        _connections.discard(id);
        noteIfLost(group, server);
    }
}

}  // namespace coralhoist::pooling
