/** The failovers of all groups as one node drives them. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"
#include "failover/GroupFailover.h"
#include "pooling/LeadershipTracker.h"

namespace coralhoist::failover {

/** What concerns the failovers of all groups at once. */
struct EstateState {
    /** Era of the store, and whether it has ever returned older. */
    std::uint64_t era = 0;
    bool hasReturned = false;
    bool mayMovePrimaries = false;

    bool operator==(const EstateState&) const = default;
};

/** What the rounds ask, and whom they tell. */
struct RoundEvents {
    /** The primary of a group as it is taken now. */
    std::function<std::optional<pooling::Primary>(const GroupName&)> primaryOf;
    /** A record is known that was not known at the last look. */
    std::function<void(const GroupName&, const GroupFailover&)> onNewRecord;
    /** The servers of the group are to be asked who leads. */
    std::function<void(const GroupName&, TimePoint now)> confirm;
};

/**
 * Looks at failovers in rounds, but not at those at rest: a node knows the groups of the whole
 * estate, and nothing happens to most of them. Whoever tells a failover anything wakes it.
 *
 * Invariant: a failover that is not in the rounds would do nothing if it were looked at.
 */
class GroupFailovers {
public:
    using Factory = std::function<std::unique_ptr<GroupFailover>(const GroupName&)>;

    GroupFailovers(Factory factory, RoundEvents events);
    ~GroupFailovers();

    /** @return the failover, which is looked at from the next round on, until it is at rest. */
    GroupFailover& wake(const GroupName& group);

    /** Takes a record; the failover is woken if that is news. @return whether it is. */
    bool onRecord(const GroupName& group, const PromotionRecord& record);

    /** @return the failover of a group that is known; else null. */
    const GroupFailover* find(const GroupName& group) const;

    /** All failovers are looked at when the state is another one than before. */
    void noteState(const EstateState& state);

    /** @param mayAct false while the node does not know enough to replace a primary. */
    void onTick(TimePoint now, bool mayAct);

    /** @return when onTick must be called next; far away while all failovers are at rest. */
    TimePoint nextTick() const;

    const std::map<GroupName, std::unique_ptr<GroupFailover>>& all() const { return _failovers; }

    /** @return failovers that every round looks at. */
    std::size_t activeCount() const { return _active.size(); }
    /** @return looks at failovers, ever. */
    std::uint64_t visits() const { return _visits; }
    /** @return promotions carried out by this node. */
    std::uint64_t promotions() const;
    /** @return those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves() const;

private:
    GroupFailover& get(const GroupName& group);
    void look(const GroupName& group, GroupFailover& failover, TimePoint now, bool mayAct);

    Factory _factory;
    RoundEvents _events;
    std::map<GroupName, std::unique_ptr<GroupFailover>> _failovers;
    std::map<GroupName, GroupFailover*> _active;
    /** Version of each group's record at the last look. */
    std::map<GroupName, StoreVersion> _toldVersions;
    EstateState _state;
    std::uint64_t _visits = 0;
};

}  // namespace coralhoist::failover
