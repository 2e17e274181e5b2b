/** What a successful statement proves about commits, the log and the leadership. */
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
 * A former primary may continue to commit until it learns of its successor, and responses may take
 * seconds. A commit that it acknowledges is passed on only if the successor is known to have it;
 * otherwise the caller would rely on a commit that is lost.
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

/** Records what a success on the primary proves about its leadership and about the log. */
void StatementPooler::noteFreshness(PooledSession& session, const StatementResult& result) {
    GroupState& group = groupOf(session);
    const Operation& operation = *session.operation;
    const std::optional<Primary>& primary = group.leadership.primary();
    const bool committed = commitsChanges(session);
    if (committed) {
        session.ownFloors.raise(session.group, result.position);
    }
    if (!primary || primary->server != operation.server || result.position.term == 0 ||
        group.leadership.isPromotedSince(operation.sentAt)) {
        return;
    }
    if (committed && replicatesSynchronously(session.group)) {
        // A replica received the commit after it was sent, so the replica had missed no earlier
        // commit.
        group.leadership.confirm(*primary, operation.sentAt);
    }
    if (group.leadership.isCertainFor(operation.sentAt)) {
        group.floors.add(operation.sentAt, result.position);
    }
}

}  // namespace coralhoist::pooling
