#include "failover/CommitQuorum.h"

#include <algorithm>
#include <utility>

namespace coralhoist::failover {
namespace {

/**
 * Servers besides the leader that have a commit when it is acknowledged; follows the groups'
 * replication setting.
 */
constexpr std::ptrdiff_t kReplicasOfACommit = 1;

/** A member whose role is unknown may lead. */
bool mayLead(const MemberView& member) {
    return !isReplica(member) && member.role != MemberRole::Departed;
}

/**
 * A primary of an older term may receive too, because it becomes a replica by itself once it
 * reaches a newer primary.
 */
bool mayReceive(const MemberView& member) {
    return member.role != MemberRole::Paused && member.role != MemberRole::Departed;
}

}  // namespace

const char* describe(MemberRole role) {
    switch (role) {
        case MemberRole::Unknown:
            return "unknown";
        case MemberRole::Leading:
            return "leading";
        case MemberRole::Following:
            return "following";
        case MemberRole::Paused:
            return "paused";
        case MemberRole::Departed:
            return "departed";
    }
    return "unknown";
}

bool isReplica(const MemberView& member) {
    return member.role == MemberRole::Following || member.role == MemberRole::Paused;
}

CommitQuorum::CommitQuorum(std::vector<MemberView> members, const ServerName& newestLeader)
    : _members(std::move(members)), _newestLeader(newestLeader) {}

const MemberView* CommitQuorum::find(const ServerName& server) const {
    const auto found =
        std::find_if(_members.begin(), _members.end(),
                     [&server](const MemberView& member) { return member.server == server; });
    return found == _members.end() ? nullptr : &*found;
}

const MemberView* CommitQuorum::formerLeader() const {
    const MemberView* leader = find(_newestLeader);
    if (leader == nullptr || !isReplica(*leader)) {
        return nullptr;
    }
    // A member that leads now, or that follows a later term, shows that the newest leader is
    // another server.
    const bool outdated =
        std::any_of(_members.begin(), _members.end(), [leader](const MemberView& member) {
            return member.role == MemberRole::Leading ||
                   (member.role != MemberRole::Unknown && member.term > leader->term);
        });
    return outdated ? nullptr : leader;
}

bool CommitQuorum::mayAcknowledge() const {
    // Unreachable members lead older terms at most, and no server that has seen the newest term
    // follows them.
    if (formerLeader() != nullptr) {
        return false;
    }
    return std::any_of(_members.begin(), _members.end(), [this](const MemberView& leader) {
        return mayLead(leader) &&
               std::any_of(_members.begin(), _members.end(), [&leader](const MemberView& receiver) {
                   return &receiver != &leader && mayReceive(receiver);
               });
    });
}

bool CommitQuorum::reachesFormerLeader(const ServerName& server) const {
    const MemberView* leader = formerLeader();
    const MemberView* candidate = find(server);
    return leader != nullptr && candidate != nullptr && isReplica(*candidate) &&
           candidate->received >= leader->received;
}

bool CommitQuorum::isBehind(const ServerName& server) const {
    const MemberView* candidate = find(server);
    return candidate != nullptr &&
           std::any_of(_members.begin(), _members.end(), [candidate](const MemberView& member) {
               return member.role != MemberRole::Unknown && member.received > candidate->received;
           });
}

bool CommitQuorum::holdsAllCommits(const ServerName& server) const {
    const MemberView* candidate = find(server);
    if (candidate == nullptr || !isReplica(*candidate)) {
        return false;
    }
    if (reachesFormerLeader(server)) {
        return true;
    }
    const std::ptrdiff_t mayHaveMore =
        std::count_if(_members.begin(), _members.end(), [candidate](const MemberView& member) {
            const bool bounded = isReplica(member) && member.isUpperBound;
            return &member != candidate && (!bounded || member.received > candidate->received);
        });
    return mayHaveMore <= kReplicasOfACommit;
}

}  // namespace coralhoist::failover
