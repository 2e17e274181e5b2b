/**
 * Decides from the servers' reports whether a commit may still be acknowledged and which servers
 * hold all commits.
 */
#pragma once

#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"

namespace coralhoist::failover {

/** What is known of a server's role in replication. */
enum class MemberRole {
    Unknown,   /**< No valid report. The server may lead, receive and hold any log. */
    Leading,   /**< The server reports that it leads. */
    Following, /**< A replica that may receive. */
    Paused,    /**< A replica that was ordered to stop receiving. */
    /**
     * The server has ended for good. It neither leads nor receives any more, but its log may have
     * been one of the two that a commit needs.
     */
    Departed,
};

/** @return the name for log lines. */
const char* describe(MemberRole role);

/** One server of a group as the promoting node knows it. */
struct MemberView {
    ServerName server;
    MemberRole role = MemberRole::Unknown;
    Term term = 0;
    /** Last position of the server's log; valid only where the role is known. */
    OpTime received;
    /**
     * The position was reported after commits could no longer be acknowledged, or by a paused
     * replica. Any other position may have grown since, so it is no upper bound.
     */
    bool isUpperBound = false;
};

/** @return whether the server reported that it is a replica. */
bool isReplica(const MemberView& member);

/**
 * The members of one group at one moment. A leader acknowledges a commit once one replica has
 * received it, so an acknowledged commit is on at least two servers, and it takes two servers to
 * acknowledge one.
 *
 * Invariant: a server is found to hold all commits only if at most one member, present or departed,
 * may have a longer log. A member leaves this count when the log of the leader, as reported after
 * the member had ended, bounds the commits that the member may have held; the passage of time never
 * removes it.
 *
 * Missing and late responses prove nothing: a member whose role is unknown counts as one that may
 * lead, may receive and may have the longest log. The servers that certainly hold all acknowledged
 * commits are therefore found by counting the members that may have more, not by comparing the
 * members that responded.
 */
class CommitQuorum {
public:
    /**
     * @param members all servers that may have received or led in the newest term, unreachable and
     * departed ones included: a server that is missing here is assumed to hold no commit that is
     * not bounded otherwise.
     * @param newestLeader the server that led the newest term, if that is certain; otherwise an
     * empty name.
     */
    CommitQuorum(std::vector<MemberView> members, const ServerName& newestLeader);

    /**
     * @return whether some possible leader and some possible receiver may still acknowledge a
     * commit together.
     */
    bool mayAcknowledge() const;

    /**
     * @return whether the server has every acknowledged commit of the newest term. The caller must
     * check commits of earlier terms.
     */
    bool holdsAllCommits(const ServerName& server) const;

    /**
     * @return whether the server's log is as long as the log of the newest leader, which no longer
     * leads.
     */
    bool reachesFormerLeader(const ServerName& server) const;

    /** @return whether another member reported a longer log. */
    bool isBehind(const ServerName& server) const;

    /** @return the newest leader if it is known that it no longer leads; otherwise null. */
    const MemberView* formerLeader() const;

    /** @return the member; null if the server is not a member. */
    const MemberView* find(const ServerName& server) const;

    const std::vector<MemberView>& members() const { return _members; }

private:
    std::vector<MemberView> _members;
    ServerName _newestLeader;
};

}  // namespace coralhoist::failover
