/** What the success of a statement proves about commits, the log and the leadership. */
#include <algorithm>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {

/** @return whether the statement commits changes when it succeeds. */
bool StatementPooler::commitsChanges(const PooledSession& session) {
    const Operation& operation = *session.operation;
    return session.transaction.phase == TransactionPhase::None
               ? operation.writes
               : operation.statement.verb == StatementVerb::Commit && session.transaction.wrote;
}

/**
 * A former primary may go on committing until it learns of its successor, and answers may take
 * seconds. What it acknowledges is passed on only when the successor is known to have it; else the
 * caller would hold a commit that is gone.
 */
bool StatementPooler::isCommitInDoubt(const PooledSession& session,
                                      const StatementResult& result) const {
    if (!commitsChanges(session)) {
        return false;
    }
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

bool StatementPooler::replicatesSynchronously(const GroupName& group) const {
    const auto found = _catalog->groups.find(group);
    return found != _catalog->groups.end() && found->second.synchronousReplicas > 0;
}

/** What a success at the primary proves about its leadership and about the log. */
void StatementPooler::noteFreshness(PooledSession& session, const StatementResult& result) {
    GroupState& group = groupOf(session);
    const Operation& operation = *session.operation;
    const std::optional<Primary>& primary = group.leadership.primary();
    const bool committed = commitsChanges(session);
    if (committed) {
        session.ownFloor = std::max(session.ownFloor, result.position);
    }
    if (!primary || primary->server != operation.server || result.position.term == 0 ||
        group.leadership.isPromotedSince(operation.sentAt)) {
        return;
    }
    if (committed && replicatesSynchronously(session.group)) {
        // A replica took the commit after it was sent, so none had been kept from it before.
        group.leadership.confirm(*primary, operation.sentAt);
    }
    if (group.leadership.isCertainFor(operation.sentAt)) {
        group.floors.add(operation.sentAt, result.position);
    }
}

}  // namespace coralhoist::pooling
