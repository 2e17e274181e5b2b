/** Choice of a server and of a connection to it. */
#include <algorithm>
#include <vector>

#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** A slowness that was last observed longer ago than this has half the weight. */
constexpr Duration kSlownessStaleAfter = std::chrono::milliseconds(500);
/** Expected time of a unit for which no observation exists. */
constexpr Duration kUnknownUnitTime = std::chrono::milliseconds(15);
/**
 * Retry delay for a caller whose statement the policy excludes from all servers: the policy's
 * verdicts change by manual intervention or by a promotion.
 */
constexpr Duration kRetryDelayAfterPlacement = std::chrono::milliseconds(1000);

}  // namespace

ServerState* StatementPooler::chooseServer(GroupState& group, PooledSession& session,
                                           const Requirement& requirement,
                                           PlacementOutlook& outlook) {
    std::vector<ServerState*> servers;
    std::vector<ServerCandidate> candidates;
    servers.reserve(group.servers.size());
    candidates.reserve(group.servers.size());
    for (auto& [name, server] : group.servers) {
        if (const auto candidate = candidateOf(group, server, session, requirement, outlook)) {
            servers.push_back(&server);
            candidates.push_back(*candidate);
        }
    }
    Operation& operation = *session.operation;
    const ServerChosen chosen = ServerChoice::choose(candidates, replicaWaitLimit(group, session));
    if (chosen.index) {
        return servers[*chosen.index];
    }
    if (outlook.rulesOutAll()) {
        operation.lastObstacle = outlook.reason;
        return nullptr;
    }
    operation.lastObstacle = chosen.anyCandidate ? "no_slot" : "no_server";
    if (chosen.replicaIn) {
        waitForReplica(session, *chosen.replicaIn);
    } else if (chosen.anyCandidate) {
        noteNoRoom(group, session);
    }
    if (!chosen.anyCandidate && !operation.avoided.empty()) {
        operation.avoided.clear();
    }
    return nullptr;
}

bool StatementPooler::isCandidate(const GroupState& group, const ServerState& server,
                                  const PooledSession& session,
                                  const Requirement& requirement) const {
    if (requirement.primary) {
        return server.ready && isPrimary(group, server);
    }
    if (!server.ready || session.operation->avoided.contains(server.address.server)) {
        return false;
    }
    return !server.unreachable || !server.idle.empty() || _clock.now() >= server.nextConnect;
}

void StatementPooler::PlacementOutlook::note(const PlacementVerdict& verdict) {
    if (verdict.isAllowed()) {
        anyAllowed = true;
        return;
    }
    if (!verdict.isForbidden() && (!soonest || verdict.expectedIn < *soonest)) {
        soonest = verdict.expectedIn;
        reason = verdict.reason;
    } else if (!soonest) {
        reason = verdict.reason;
    }
}

PlacedUnit StatementPooler::placedUnit(const PooledSession& session, bool needsPrimary) {
    return {session.group,  session.service,
            session.tenant, session.settings.admissionRank(),
            needsPrimary,   session.transaction.phase != TransactionPhase::None};
}

PlacedServer StatementPooler::placedServer(const GroupState& group,
                                           const ServerState& server) const {
    return {server.address.server, server.zone, isPrimary(group, server)};
}

/**
 * Refuses a statement at once if the policy excludes all servers that can run it, unless one of
 * them is expected to be allowed while a response is still useful.
 * @return whether the statement was refused.
 */
bool StatementPooler::refuseUnplaceable(PooledSession& session, const PlacementOutlook& outlook) {
    if (!outlook.rulesOutAll()) {
        return false;
    }
    if (outlook.soonest && _clock.now() + *outlook.soonest <= latestStart(session)) {
        return false;
    }
    ++_statistics.refusedByPlacement;
    ++_statistics.refusedByReason[outlook.reason];
    refuseQueued(session, outlook.soonest.value_or(kRetryDelayAfterPlacement));
    return true;
}

/**
 * @return the server's properties as a candidate for the session's unit; none if the server can't
 * run the unit.
 */
std::optional<ServerCandidate> StatementPooler::candidateOf(const GroupState& group,
                                                            const ServerState& server,
                                                            const PooledSession& session,
                                                            const Requirement& requirement,
                                                            PlacementOutlook& outlook) const {
    if (!server.ready || (requirement.primary && !isPrimary(group, server))) {
        return std::nullopt;
    }
    const PlacementVerdict verdict =
        _policy == nullptr ? PlacementVerdict::allowed()
                           : _policy->mayBegin(placedUnit(session, requirement.primary),
                                               placedServer(group, server));
    outlook.note(verdict);
    if (verdict.isForbidden() || !isCandidate(group, server, session, requirement)) {
        return std::nullopt;
    }
    ServerCandidate candidate;
    candidate.unitTime = unitTimeOf(group, session);
    candidate.slowness = slownessOf(server);
    candidate.inflight = server.inflight;
    candidate.concurrency = initialLimit(server.address.group, server);
    candidate.connecting =
        _connections.hasIdleFor(server, session.tenant) ? Duration(0) : _knobs.connectPenalty;
    candidate.penalty = distancePenalty(server);
    candidate.suspect = isSuspect(server);
    candidate.hasRoom = verdict.isAllowed() && hasRoom(server, session);
    if (requirement.primary) {
        return candidate;
    }
    candidate.standing = group.outliers.standingOf(server.address.server);
    if (isPrimary(group, server)) {
        candidate.penalty += _knobs.primaryPenalty;
        if (session.settings.maxStaleness && isHalfUsed(server)) {
            candidate.penalty += candidate.unitTime;
        }
        return candidate;
    }
    const bool isTried = candidate.standing == ServerStanding::OnProbation && server.inflight > 0;
    candidate.hasRoom = candidate.hasRoom && !isTried;
    if (requirement.floor) {
        const std::optional<Duration> readyIn =
            server.catchUp.timeUntil(*requirement.floor, requirement.reachedAt, _clock.now());
        if (!readyIn) {
            return std::nullopt;
        }
        candidate.readyIn = *readyIn;
    }
    return candidate;
}

/**
 * @return how long a read may wait for a replica: half of what is left of its latency objective, so
 * that the primary can still serve the read in time if the expectation fails. A primary with free
 * slots serves it without a wait.
 */
Duration StatementPooler::replicaWaitLimit(const GroupState& group,
                                           const PooledSession& session) const {
    const std::optional<Primary>& primary = group.leadership.primary();
    const auto found = primary ? group.servers.find(primary->server) : group.servers.end();
    if (found != group.servers.end() && found->second.ready && !isHalfUsed(found->second)) {
        return Duration(0);
    }
    const Duration age = _clock.now() - session.operation->arrivedAt;
    return std::max(Duration(0), (session.settings.latencyObjective - age) / 2);
}

void StatementPooler::waitForReplica(PooledSession& session, Duration wait) {
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    operation.lastObstacle = "replica_behind";
    if (operation.replicaAt > now) {
        return;
    }
    if (operation.replicaAt == TimePoint{}) {
        ++_statistics.waitedForReplica;
    }
    operation.replicaAt = now + wait;
    wakeAt(session, operation.replicaAt);
}

/** @return the network round trip to the server; zero for a server of this node's region. */
ServerRoundTrip StatementPooler::wayTo(const ServerState& server) const {
    return {_distances == nullptr ? Duration(0) : _distances->to(server.zone, _clock.now()).time};
}

/**
 * @return the maximum number of statements in flight that the server's capacity allows, including
 * those in transit.
 */
double StatementPooler::inflightCapacityOf(const ServerState& server) const {
    return server.slots * _knobs.inflightPerSlot * wayTo(server).inflightPerRunning(server.latency);
}

/**
 * @return the cost of the distance to the server: for another region, its round trip is included.
 */
Duration StatementPooler::distancePenalty(const ServerState& server) const {
    return server.zone == _knobs.zone ? Duration(0)
                                      : _knobs.otherZonePenalty + wayTo(server).roundTrip;
}

bool StatementPooler::isPrimary(const GroupState& group, const ServerState& server) const {
    const std::optional<Primary>& primary = group.leadership.primary();
    return primary && primary->server == server.address.server;
}

/** @return whether at least half of this process's in-flight limit for the server is in use, or
 * sending to the server is paused after a refusal. */
bool StatementPooler::isHalfUsed(const ServerState& server) const {
    return _clock.now() < server.busyUntil || server.inflight * 2 >= server.inflightLimit;
}

Duration StatementPooler::unitTimeOf(const GroupState& group, const PooledSession& session) const {
    const Duration time = group.slotTimes.expected(session.service, unitKindOf(session));
    return time > Duration(0) ? time : kUnknownUnitTime;
}

double StatementPooler::slownessOf(const ServerState& server) const {
    const bool isOld = _clock.now() - server.slownessAt > kSlownessStaleAfter;
    return isOld ? (1 + server.slowness) / 2 : server.slowness;
}

ProbePauses StatementPooler::probePauses() const {
    return {_knobs.laggingPause, _knobs.longestLaggingPause};
}

bool StatementPooler::hasRoom(const ServerState& server, const PooledSession& session) const {
    if (_clock.now() < server.busyUntil) {
        return false;
    }
    const bool urgent = session.settings.priority == settings::Priority::Urgent;
    const double limit = server.inflightLimit + (urgent ? _knobs.urgentHeadroom : 0);
    if (_connections.hasIdleFor(server, session.tenant)) {
        return server.inflight + 1 <= limit && isWithinShare(server, server.inflight);
    }
    // A connection that is being opened occupies a slot like a statement.
    const Operation& operation = *session.operation;
    const std::uint32_t others = server.opening - (isOpeningAt(operation, server) ? 1 : 0);
    return server.inflight + others + 1 <= limit &&
           isWithinShare(server, server.inflight + others) && mayOpenFor(server, operation);
}

bool StatementPooler::isOpening(const Operation& operation) const {
    if (!operation.opening) {
        return false;
    }
    const ServerConnection* connection = _connections.find(*operation.opening);
    return connection != nullptr && connection->state == ServerConnection::State::Opening;
}

bool StatementPooler::isOpeningAt(const Operation& operation, const ServerState& server) const {
    return isOpening(operation) &&
           _connections.find(*operation.opening)->server == server.address.server;
}

/**
 * @return whether a connection for the statement is being opened to the server, or may be opened.
 */
bool StatementPooler::mayOpenFor(const ServerState& server, const Operation& operation) const {
    return isOpeningAt(operation, server) ||
           (!isOpening(operation) && _connections.mayOpen(server, openingTerms(server)));
}

OpeningTerms StatementPooler::openingTerms(const ServerState& server) const {
    const GroupName& group = server.address.group;
    return {connectionLimit(group), _groups.at(group).activity};
}

bool StatementPooler::isSuspect(const ServerState& server) const {
    const TimePoint now = _clock.now();
    const bool silent = server.silentSince && now - *server.silentSince > _knobs.hedgeAfter;
    return silent || (server.unreachable && server.idle.empty());
}

/**
 * An equal share of the connections that a server accepts from all nodes, less one: when all nodes
 * lose power, their connections remain for seconds, and each node needs one that it can reopen at
 * once.
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
    return std::min(connectionBound(), std::max<std::uint32_t>(share, 2) - 1);
}

std::uint32_t StatementPooler::connectionBound() const {
    if (_callersHaveTenants) {
        return _knobs.tenantConnectionsPerServer;
    }
    return _distances == nullptr ? _knobs.connectionsPerServer
                                 : _knobs.regionalConnectionsPerServer;
}

}  // namespace coralhoist::pooling
