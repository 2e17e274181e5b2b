/** The failovers of all groups on one node. */
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

/** State that concerns the failovers of all groups at once. */
struct SharedFailoverState {
    /** Era of the store, and whether the store was ever restored from an older copy. */
    std::uint64_t era = 0;
    bool hasReturned = false;
    bool mayMovePrimaries = false;

    bool operator==(const SharedFailoverState&) const = default;
};

/** Callbacks of the evaluation rounds. */
struct RoundEvents {
    /** Returns the primary that is currently assumed for a group. */
    std::function<std::optional<pooling::Primary>(const GroupName&)> primaryOf;
    /** Called when a failover has a newer record than at its last evaluation. */
    std::function<void(const GroupName&, const GroupFailover&)> onNewRecord;
    /** Called when the servers of the group must be queried for the leader. */
    std::function<void(const GroupName&, TimePoint now)> confirm;
};

/**
 * Evaluates failovers in rounds, except those at rest: a node knows the groups of the whole
 * installation, and most of them do not change. Code that passes anything to a failover must wake
 * it.
 *
 * Invariant: evaluating a failover that is not in the rounds would do nothing.
 */
class GroupFailovers {
public:
    using Factory = std::function<std::unique_ptr<GroupFailover>(const GroupName&)>;

    GroupFailovers(Factory factory, RoundEvents events);
    ~GroupFailovers();

    /** @return the failover, which is evaluated from the next round on until it is at rest. */
    GroupFailover& wake(const GroupName& group);

    /**
     * Takes a record; wakes the failover if the record is newer than the known one.
     * @return whether it is newer.
     */
    bool onRecord(const GroupName& group, const PromotionRecord& record);

    /** @return the failover of a known group; otherwise null. */
    const GroupFailover* find(const GroupName& group) const;

    /** Takes the common state; all failovers are evaluated in the next round if it changed. */
    void onSharedState(const SharedFailoverState& state);

    /** @param mayAct false while the node does not know enough to replace a primary. */
    void onTick(TimePoint now, bool mayAct);

    /**
     * @return when onTick must be called next; TimePoint::max() while all failovers are at rest.
     */
    TimePoint nextTick() const;

    const std::map<GroupName, std::unique_ptr<GroupFailover>>& all() const { return _failovers; }

    /** @return the number of failovers that each round evaluates. */
    std::size_t activeCount() const { return _active.size(); }
    /** @return the total number of evaluations of failovers. */
    std::uint64_t evaluations() const { return _evaluations; }
    /** @return the number of promotions carried out by this node. */
    std::uint64_t promotions() const;
    /**
     * @return the number of those promotions that moved a misplaced primary to a more suitable
     * server.
     */
    std::uint64_t plannedMoves() const;

private:
    GroupFailover& get(const GroupName& group);
    void evaluate(const GroupName& group, GroupFailover& failover, TimePoint now, bool mayAct);

    Factory _factory;
    RoundEvents _events;
    std::map<GroupName, std::unique_ptr<GroupFailover>> _failovers;
    std::map<GroupName, GroupFailover*> _active;
    /** Version of each group's record at the last evaluation. */
    std::map<GroupName, StoreVersion> _notifiedVersions;
    SharedFailoverState _state;
    std::uint64_t _evaluations = 0;
};

}  // namespace coralhoist::failover
