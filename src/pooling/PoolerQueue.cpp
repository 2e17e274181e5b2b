/** Queued statements: their order, what each requires of a server, and their placement. */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** A statement that has waited this long for a proof of leadership is forwarded to another node. */
constexpr Duration kProofWaitLimit = std::chrono::milliseconds(100);

}  // namespace

void StatementPooler::enqueue(PooledSession& session) {
    if (forward(session)) {
        return;
    }
    GroupState& group = groupOf(session);
    session.operation->phase = OperationPhase::Queued;
    group.waiting.add(waitingStatement(group, session));
    markDirty(group);
    wakeAt(session, session.operation->holdUntil);
}

admission::WaitingStatement StatementPooler::waitingStatement(const GroupState& group,
                                                              const PooledSession& session) const {
    admission::WaitingStatement waiting;
    waiting.session = session.id;
    waiting.rank = session.settings.admissionRank();
    waiting.arrivedAt = session.operation->firstRequestedAt;
    waiting.onTimeFor = std::chrono::duration_cast<Duration>(session.settings.latencyObjective *
                                                             _knobs.onTimeShare);
    waiting.flow = flowOf(group, session);
    if (_knobs.orderBySlotTime > 0) {
        waiting.slotTime = group.slotTimes.expected(session.service, unitKindOf(session));
    }
    return waiting;
}

/** @return the key of the fair-queueing flow that the session's statements belong to. */
std::string StatementPooler::flowOf(const GroupState& group, const PooledSession& session) {
    if (!session.tenant.value().empty()) {
        return "tenant " + session.tenant.value();
    }
    return group.fairServices ? "service " + session.service.value() : std::string();
}

void StatementPooler::dispatch(GroupState& group) {
    ++_statistics.groupsVisited;
    takeNewestProof(group);
    reviewUnprovenCommits(group);
    for (const SessionId id : group.waiting.order(_clock.now())) {
        PooledSession* session = findSession(id);
        if (session == nullptr || !isQueued(*session)) {
            group.waiting.remove(id);
        } else if (place(group, *session)) {
            if (!session->operation) {
                group.waiting.remove(id);
                continue;
            }
            noteStarted(group, *session);
            if (hasSlot(*session)) {
                group.waiting.placed(id);
            } else {
                group.waiting.remove(id);
            }
        }
    }
    refuseByForecast(group);
}

std::array<std::size_t, settings::kAdmissionRanks> StatementPooler::waitingByRank() const {
    std::array<std::size_t, settings::kAdmissionRanks> waiting{};
    for (const auto& [name, group] : _groups) {
        for (std::uint32_t rank = 0; rank < settings::kAdmissionRanks; ++rank) {
            waiting[rank] += group.waiting.sizeOf(rank);
        }
    }
    return waiting;
}

/** @return whether the session's statement was sent to a server of this node. */
bool StatementPooler::hasSlot(const PooledSession& session) {
    return session.operation && session.operation->phase != OperationPhase::Queued &&
           !session.operation->unit;
}

UnitKind StatementPooler::unitKindOf(const PooledSession& session) {
    if (session.transaction.phase != TransactionPhase::None) {
        return UnitKind::Transaction;
    }
    return session.operation->writes ? UnitKind::Write : UnitKind::Read;
}

bool StatementPooler::isSingleRead(const PooledSession& session) {
    return unitKindOf(session) == UnitKind::Read;
}

bool StatementPooler::isQueued(const PooledSession& session) const {
    return session.operation && session.operation->phase == OperationPhase::Queued &&
           session.transaction.phase != TransactionPhase::Open;
}

/** @return whether the statement is no longer queued: it was sent, forwarded or refused. */
bool StatementPooler::place(GroupState& group, PooledSession& session) {
    Operation& operation = *session.operation;
    const TimePoint now = _clock.now();
    if (now < operation.notBefore) {
        return false;
    }
    if (now >= operation.deadline) {
        // The process stood still, and a connection opened before the timer of the deadline ran.
        refuseAsBusy(session);
        return true;
    }
    const Requirement requirement = requirementOf(group, session);
    if (requirement.primary && moveToOther(group, session)) {
        return true;
    }
    if (requirement.impossible) {
        return false;
    }
    PlacementOutlook outlook;
    ServerState* server = chooseServer(group, session, requirement, outlook);
    if (server == nullptr) {
        return refuseUnplaceable(session, outlook);
    }
    ServerConnection* connection = _connections.takeIdle(*server, session.tenant, session.values);
    if (connection == nullptr) {
        operation.lastObstacle = "no_connection";
        if (!isOpening(operation)) {
            operation.opening = _connections.open(*server, session.tenant, openingTerms(*server));
        }
        return false;
    }
    start(group, *server, *connection, session, requirement);
    return true;
}

/**
 * @return whether the statement was forwarded to another node because this node can't use the
 * primary.
 */
bool StatementPooler::moveToOther(const GroupState& group, PooledSession& session) {
    const char* obstacle = localObstacle(group, *session.operation);
    if (obstacle == nullptr || !forwardToOther(session)) {
        return false;
    }
    LogEvent("pooling", LogLevel::Info, "request.moved")
        .field("request", session.operation->statement.id)
        .field("group", session.group)
        .field("executor", session.operation->executor)
        .field("obstacle", obstacle);
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
    const Duration staleness = session.ownFloors.mayLackCommits(session.group)
                                   ? Duration(0)
                                   : session.settings.maxStaleness.value_or(Duration(0));
    const std::optional<OpTime> floor =
        group.floors.covering(session.operation->consistentSince - staleness);
    if (!floor) {
        requirement.impossible = true;
        return requirement;
    }
    requirement.floor = std::max(*floor, session.ownFloors.floorOf(session.group));
    requirement.reachedAt = group.floors.reachedAt(*requirement.floor).value_or(_clock.now());
    return requirement;
}

/**
 * Schedules a review of the statement for the time at which the primary may be written to. Only one
 * review is scheduled for each time, because a statement is also reviewed with every event of its
 * group. A promotion that is being prepared has no known end time; its end is such an event.
 */
void StatementPooler::wakeWhenWritable(PooledSession& session, TimePoint at) {
    if (at > _clock.now() && session.operation->writableAt != at) {
        session.operation->writableAt = at;
        wakeAt(session, at);
    }
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
        wakeWhenWritable(session, leadership.writableFrom());
        requirement.impossible = true;
        return requirement;
    }
    if (!leadership.isCertainFor(operation.consistentSince)) {
        operation.lastObstacle = "leadership_unproven";
        wantProof(session);
        requirement.impossible = true;
        return requirement;
    }
    const OpTime ownFloor = session.ownFloors.floorOf(session.group);
    if (ownFloor.term > 0 && !operation.writes) {
        requirement.floor = ownFloor;
    }
    return requirement;
}

/**
 * A statement that needs the primary may be served better by another node if the primary is silent
 * or unreachable from this node, has no connection left for this process, or can't be proven to
 * lead. The other nodes may have the same obstacle, but then nothing is lost.
 * @return a word for logs; null if this node can serve the statement.
 */
const char* StatementPooler::localObstacle(const GroupState& group,
                                           const Operation& operation) const {
    if (_knobs.moveToOthers == 0 || !group.leadership.primary()) {
        return nullptr;
    }
    const TimePoint now = _clock.now();
    if (!group.leadership.isCertainFor(operation.consistentSince)) {
        const bool overdue = now - operation.arrivedAt > kProofWaitLimit;
        return overdue ? "leadership_unproven" : nullptr;
    }
    const auto found = group.servers.find(group.leadership.primary()->server);
    if (found == group.servers.end()) {
        return nullptr;
    }
    const ServerState& server = found->second;
    if (server.connections == 0 && server.refusedAbove && now < server.refusedUntil) {
        return "connections_refused";
    }
    return isSuspect(server) ? "primary_suspect" : nullptr;
}

}  // namespace coralhoist::pooling
