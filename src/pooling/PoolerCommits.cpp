/** What a successful statement proves about commits, the log and the leadership. */
#include <utility>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** A proof is renewed when less than this time of the lease remains. */
constexpr Duration kProofRenewal = std::chrono::milliseconds(150);

}  // namespace

/** @return whether the statement commits changes when it succeeds. */
bool StatementPooler::commitsChanges(const PooledSession& session) {
    const Operation& operation = *session.operation;
    return session.transaction.phase == TransactionPhase::None
               ? operation.writes
               : operation.statement.verb == StatementVerb::Commit && session.transaction.wrote;
}

/**
 * A former primary may continue to commit until it learns of its successor, and responses may take
 * seconds. A commit that it acknowledges is passed on only if the successor is known to have it;
 * otherwise the caller would rely on a commit that is lost.
 */
bool StatementPooler::isCommitInDoubt(const PooledSession& session,
                                      const StatementResult& result) const {
    const Operation& operation = *session.operation;
    const LeadershipTracker& leadership = _groups.at(session.group).leadership;
    if (!leadership.mayLackCommit(operation.server, operation.sentAt, result.position)) {
        return false;
    }
    LogEvent("pooling", LogLevel::Warning, "commit.in_doubt")
        .field("request", operation.statement.id)
        .field("group", session.group)
        .field("server", operation.server)
        .field("term", result.position.term)
        .field("position", result.position.position)
        .field("successor", leadership.notice().successor)
        .field("record_version", leadership.notice().version);
    return true;
}

/**
 * Records what a success on the primary shows of the log. It proves no leadership: a replica that
 * restarts during a promotion receives from the former primary again.
 */
void StatementPooler::noteFreshness(PooledSession& session, const StatementResult& result,
                                    bool committed) {
    GroupState& group = groupOf(session);
    const Operation& operation = *session.operation;
    const std::optional<Primary>& primary = group.leadership.primary();
    if (committed) {
        session.ownFloors.raise(session.group, result.position);
    }
    if (!primary || primary->server != operation.server || result.position.term == 0 ||
        group.leadership.isPromotedSince(operation.sentAt)) {
        return;
    }
    if (group.leadership.isCertainFor(operation.sentAt)) {
        group.floors.add(operation.sentAt, result.position);
    }
}

/** @return whether every later leader has the commit whose response arrived at that time. */
bool StatementPooler::isCommitCertain(const GroupState& group, const StatementResult& result,
                                      TimePoint acknowledgedAt) {
    return group.leadership.isCertainFor(acknowledgedAt) ||
           group.leadership.isInSuccessorsLog(result.position);
}

void StatementPooler::wantProof(const PooledSession& session) {
    ++_statistics.proofsWanted;
    _output.wantLeadershipProof(session.group);
}

/** Requests the next proof before the present one expires, so that few commits await one. */
void StatementPooler::renewProof(const GroupState& group, const PooledSession& session) {
    if (!group.leadership.isCertainFor(_clock.now() + kProofRenewal)) {
        _output.wantLeadershipProof(session.group);
    }
}

/**
 * Keeps an acknowledged commit from its caller until a proof shows that the primary led when the
 * response arrived. A promotion that this node has not heard of may have fixed the successor's log
 * before the commit. Each proof ends by the time at which a successor is chosen, so a commit that
 * one covers is in the log of every later leader.
 */
void StatementPooler::holdCommit(GroupState& group, PooledSession& session,
                                 StatementResult result) {
    Operation& operation = *session.operation;
    operation.phase = OperationPhase::Acknowledged;
    operation.lastObstacle = "leadership_unproven";
    operation.acknowledgement = std::move(result);
    operation.acknowledgedAt = _clock.now();
    group.unprovenCommits.insert(session.id);
    ++_statistics.commitsHeld;
    wakeAt(session, operation.deadline);
    wantProof(session);
}

void StatementPooler::reviewUnprovenCommits(GroupState& group) {
    for (const SessionId id : std::set<SessionId>(group.unprovenCommits)) {
        PooledSession* session = findSession(id);
        if (session == nullptr || !session->operation ||
            session->operation->phase != OperationPhase::Acknowledged) {
            group.unprovenCommits.erase(id);
        } else {
            reviewUnprovenCommit(group, *session);
        }
    }
}

void StatementPooler::reviewUnprovenCommit(GroupState& group, PooledSession& session) {
    if (isCommitInDoubt(session, *session.operation->acknowledgement)) {
        group.unprovenCommits.erase(session.id);
        reportInDoubt(session, "a promotion was announced before the commit could be confirmed");
    } else if (isCommitCertain(group, *session.operation->acknowledgement,
                               session.operation->acknowledgedAt)) {
        group.unprovenCommits.erase(session.id);
        finishCommit(session);
    } else {
        wantProof(session);
    }
}

/** The caller learns the outcome of a commit that could not be confirmed in time as unknown. */
void StatementPooler::reviewAcknowledged(PooledSession& session, TimePoint now) {
    if (now >= session.operation->deadline) {
        groupOf(session).unprovenCommits.erase(session.id);
        reportInDoubt(session, "no proof that the primary led when it committed");
    }
}

void StatementPooler::finishCommit(PooledSession& session) {
    StatementResult result = std::move(*session.operation->acknowledgement);
    noteFreshness(session, result, true);
    finishOperation(session, std::move(result));
}

void StatementPooler::reportInDoubt(PooledSession& session, const char* reason) {
    replyError(session, StatementFault::InDoubt, reason);
}

}  // namespace coralhoist::pooling
