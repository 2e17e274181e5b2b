/** Log positions that cover the commits of one session, for each group in which it committed. */
#pragma once

#include <cstddef>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"

namespace coralhoist::pooling {

/**
 * A position belongs to the log of one group, and a session's service may move to another group and
 * back. The floors are bounded: when a session has committed in more groups than kMaximumGroups,
 * the group of the least recent commit is dropped, and the session must read everything that was
 * acknowledged before the read there.
 */
class OwnCommitFloors {
public:
    static constexpr std::size_t kMaximumGroups = 8;

    /** A commit of the session in the group is at or below the position. */
    void raise(const GroupName& group, OpTime position);

    /** @return the position that covers the session's known commits in the group; term 0 for none.
     */
    OpTime floorOf(const GroupName& group) const;

    /** @return whether the session may have commits in the group that floorOf() does not cover. */
    bool mayLackCommits(const GroupName& group) const;

private:
    struct Floor {
        GroupName group;
        OpTime position;
    };

    /** In the order of the newest commits, the most recent one last. */
    std::vector<Floor> _floors;
    bool _dropped = false;
};

}  // namespace coralhoist::pooling
