/** Decides by what servers have told whether a commit may still be acknowledged, and who has all.
 */
#pragma once

#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"

namespace coralhoist::failover {

/** What is known of a server's part in replication. */
enum class MemberRole {
    Unknown, /**< It has told nothing that still counts. It may lead, receive and hold anything. */
    Leading, /**< It says that it leads. */
    Following, /**< A replica that may receive. */
    Paused,    /**< A replica that has been told not to receive. */
};

/** @return a word for logs. */
const char* describe(MemberRole role);

/** One server of a group as a promoter knows it. */
struct MemberView {
    ServerName server;
    MemberRole role = MemberRole::Unknown;
    Term term = 0;
    /** Last position of its log; counts only where the role is known. */
    OpTime received;
    /**
     * The position was told after commits could no longer be acknowledged, or by a paused replica.
     * Any other position may have grown since, so that it bounds nothing from above.
     */
    bool isSettled = false;
};

/** @return whether it has told that it is a replica. */
bool isReplica(const MemberView& member);

/**
 * The members of one group at one moment. A commit is acknowledged by a leader once one replica
 * has received it, so it is on two servers at least, and two servers take part in it.
 *
 * Silence and late answers prove nothing: a member that is unknown counts as one that may lead,
 * may receive and may have the longest log. Whoever is sure to have all acknowledged commits is
 * therefore found by counting those who may have more, not by comparing those who have answered.
 */
class CommitQuorum {
public:
    /**
     * @param members all that may have received or led in the newest term, those out of reach
     * included: who is missing here is taken for one that has no commit.
     * @param newestLeader the server that led the newest term, where it is certain who that was;
     * else an empty name.
     */
    CommitQuorum(std::vector<MemberView> members, const ServerName& newestLeader);

    /** @return whether some leader and some receiver may still acknowledge a commit together. */
    bool mayAcknowledge() const;

    /**
     * @return whether the server has every commit of the newest term that was acknowledged. Commits
     * of earlier terms are the caller's to check.
     */
    bool holdsAllCommits(const ServerName& server) const;

    /** @return whether its log is as long as that of the newest leader, which no longer leads. */
    bool reachesFormerLeader(const ServerName& server) const;

    /** @return whether another member has told of a longer log. */
    bool isBehind(const ServerName& server) const;

    /** @return the newest leader, when it is known to lead no longer; else nothing. */
    const MemberView* formerLeader() const;

    /** @return the member; nothing when it is not one. */
    const MemberView* find(const ServerName& server) const;

    const std::vector<MemberView>& members() const { return _members; }

private:
    std::vector<MemberView> _members;
    ServerName _newestLeader;
};

}  // namespace coralhoist::failover
