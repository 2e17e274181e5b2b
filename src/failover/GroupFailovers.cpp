#include "failover/GroupFailovers.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace coralhoist::failover {

GroupFailovers::GroupFailovers(Factory factory, RoundEvents events)
    : _factory(std::move(factory)), _events(std::move(events)) {}

GroupFailovers::~GroupFailovers() = default;

GroupFailover& GroupFailovers::get(const GroupName& group) {
    std::unique_ptr<GroupFailover>& entry = _failovers[group];
    if (!entry) {
        entry = _factory(group);
    }
    return *entry;
}

GroupFailover& GroupFailovers::wake(const GroupName& group) {
    GroupFailover& failover = get(group);
    _active.emplace(group, &failover);
    return failover;
}

bool GroupFailovers::onRecord(const GroupName& group, const PromotionRecord& record) {
    if (record.version <= get(group).record().version) {
        return false;
    }
    wake(group).onRecord(record);
    return true;
}

const GroupFailover* GroupFailovers::find(const GroupName& group) const {
    const auto found = _failovers.find(group);
    return found == _failovers.end() ? nullptr : found->second.get();
}

void GroupFailovers::onSharedState(const SharedFailoverState& state) {
    if (state == _state) {
        return;
    }
    _state = state;
    for (const auto& [group, failover] : _failovers) {
        _active.emplace(group, failover.get());
    }
}

void GroupFailovers::onTick(TimePoint now, bool mayAct) {
    for (auto entry = _active.begin(); entry != _active.end();) {
        const auto& [group, failover] = *entry;
        evaluate(group, *failover, now, mayAct);
        entry = failover->isAtRest(now) ? _active.erase(entry) : std::next(entry);
    }
}

void GroupFailovers::evaluate(const GroupName& group, GroupFailover& failover, TimePoint now,
                              bool mayAct) {
    ++_evaluations;
    failover.onPrimary(_events.primaryOf(group));
    if (failover.nextTick() <= now && mayAct) {
        failover.onTick(now);
    }
    StoreVersion& notified = _notifiedVersions[group];
    if (failover.record().version > notified) {
        notified = failover.record().version;
        _events.onNewRecord(group, failover);
    }
    if (mayAct && failover.wantsConfirmation(now)) {
        _events.confirm(group, now);
    }
}

TimePoint GroupFailovers::nextTick() const {
    TimePoint next = TimePoint::max();
    for (const auto& [group, failover] : _active) {
        next = std::min(next, failover->nextTick());
    }
    return next;
}

std::uint64_t GroupFailovers::promotions() const {
    return std::accumulate(
        _failovers.begin(), _failovers.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto& entry) { return sum + entry.second->promotions(); });
}

std::uint64_t GroupFailovers::plannedMoves() const {
    return std::accumulate(
        _failovers.begin(), _failovers.end(), std::uint64_t{0},
        [](std::uint64_t sum, const auto& entry) { return sum + entry.second->plannedMoves(); });
}

}  // namespace coralhoist::failover
