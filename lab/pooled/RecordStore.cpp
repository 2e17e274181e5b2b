#include "lab/pooled/RecordStore.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooled {
namespace {

using failover::LoadedRecord;
using failover::PromoteOutcome;
using failover::SavedRecord;

constexpr Duration kTimeout = std::chrono::milliseconds(700);
/** A server that restarts is back after a time up to this. */
constexpr std::uint64_t kLongestRestartMs = 400;

}  // namespace

failover::PromotionRecord RecordStore::record(const GroupName& group) const {
    const auto found = _state.records.find(group);
    failover::PromotionRecord record =
        found == _state.records.end() ? failover::PromotionRecord{} : found->second;
    record.version.era = _era;
    return record;
}

SavedRecord RecordStore::apply(const GroupName& group, const failover::PromotionRecord& record) {
    failover::PromotionRecord known = this->record(group);
    // The store knows no era of whoever writes: a revision that was given out again fits.
    if (known.version.revision != record.version.revision) {
        return {StoreOutcome::Conflict, {}};
    }
    const bool isOfThisEra = record.version.era == _era;
    known.version = record.version;
    // As in the platform's store: a write that changes nothing raises no version.
    if (known != record) {
        _state.records[group] = record;
        _state.records[group].version.revision = ++_state.revision;
        _copies[_queue.now()] = _state;
    }
    const StoreOutcome outcome = isOfThisEra ? StoreOutcome::Done : StoreOutcome::Conflict;
    return {outcome, this->record(group).version};
}

void RecordStore::returnOlder(Duration age) {
    const auto later = _copies.upper_bound(_queue.now() - age);
    _state = later == _copies.begin() ? State{} : std::prev(later)->second;
    _copies.erase(later, _copies.end());
    ++_era;
}

/** Carries a promotion out. */
PromoteOutcome RecordStore::call(const GroupName& group, const ServerName& server,
                                 std::uint64_t fence) {
    std::uint64_t& newest = _newestFence[group];
    newest = std::max(newest, fence);
    if (_callFaults.restarts > 0 && _random.fraction() < _callFaults.restarts) {
        restartBeforeCall(group, server);
    }
    if (_callFaults.answersLost > 0 && _random.fraction() < _callFaults.answersLost) {
        callLate(group, server, fence);
        return PromoteOutcome::Unknown;
    }
    return _groups.at(group)->promote(server) ? PromoteOutcome::Accepted
                                              : PromoteOutcome::NotRunning;
}

void RecordStore::callLate(const GroupName& group, const ServerName& server, std::uint64_t fence) {
    ++_unansweredCalls;
    const Duration delay = std::chrono::microseconds(
        _random.below(static_cast<std::uint64_t>(_callFaults.longestDelay.count()) / 1000 + 1));
    _queue.after(delay,
                 [this, group, server, fence, checks = _groups.at(group)->model().checksFence] {
                     if (!checks || _newestFence[group] == fence) {
                         _groups.at(group)->promote(server);
                     }
                 });
}

void RecordStore::restartBeforeCall(const GroupName& group, const ServerName& server) {
    LogServer* named = _groups.at(group)->find(server);
    if (named == nullptr || !named->running) {
        return;
    }
    ++_callsToRestarting;
    _groups.at(group)->crash(*named);
    _queue.after(std::chrono::milliseconds(_random.below(kLongestRestartMs)),
                 [entry = _groups.at(group), named] { entry->restart(*named); });
}

void StoreClient::after(Duration delay, std::function<void()> action) {
    _store._queue.after(
        delay, [activity = _activity, action = std::move(action)] { activity->run(action); });
}

/** The era that the answer shows is known before the answer. */
void StoreClient::answerAfter(Duration delay, std::function<void()> action) {
    after(delay, [this, era = _store.era(), action = std::move(action)] {
        _era.note(era, "store");
        action();
    });
}

void StoreClient::load(const GroupName& group, std::function<void(const LoadedRecord&)> callback) {
    _store._queue.after(_store._faults.latency / 2, [this, group, callback = std::move(callback),
                                                     activity = _activity] {
        if (activity->hasEnded()) {
            return;
        }
        LoadedRecord loaded;
        if (isDown()) {
            after(kTimeout, [callback, loaded] { callback(loaded); });
            return;
        }
        loaded.outcome = StoreOutcome::Done;
        loaded.record = _store.record(group);
        answerAfter(_store._faults.latency / 2, [callback, loaded] { callback(loaded); });
    });
}

void StoreClient::save(const GroupName& group, const failover::PromotionRecord& record,
                       std::function<void(const SavedRecord&)> callback) {
    _store._queue.after(
        _store._faults.latency / 2,
        [this, group, record, callback = std::move(callback), activity = _activity] {
            if (activity->hasEnded()) {
                return;
            }
            if (isDown()) {
                after(kTimeout, [callback] { callback({StoreOutcome::Unknown, {}}); });
                return;
            }
            if (_store._random.fraction() < _store._faults.answersLost) {
                _store._queue.after(_store._faults.late, [store = &_store, group, record] {
                    store->apply(group, record);
                });
                after(kTimeout, [callback] { callback({StoreOutcome::Unknown, {}}); });
                return;
            }
            const SavedRecord saved = _store.apply(group, record);
            answerAfter(_store._faults.latency / 2, [callback, saved] { callback(saved); });
        });
}

/** A node that stands still while the connection opens sends the call when it goes on. */
void StoreClient::promote(const failover::PromotionCall& call,
                          std::function<void(PromoteOutcome)> callback) {
    const Duration opening = _store._callFaults.opening;
    if (opening == Duration(0)) {
        transmit(call, std::move(callback));
        return;
    }
    after(opening, [this, call, callback = std::move(callback)] { transmit(call, callback); });
}

void StoreClient::transmit(const failover::PromotionCall& call,
                           std::function<void(PromoteOutcome)> callback) {
    if (_store._queue.now() >= call.sendBy) {
        after(_store._faults.latency / 2,
              [callback = std::move(callback)] { callback(PromoteOutcome::Unavailable); });
        return;
    }
    _store._queue.after(_store._faults.latency / 2, [this, call, callback = std::move(callback),
                                                     activity = _activity] {
        if (activity->hasEnded()) {
            return;
        }
        _store._judge.onPromoteCalled(call.group, _holder, call.fence, _store._queue.now());
        const PromoteOutcome outcome = _store.call(call.group, call.successor, call.fence);
        const bool answered = outcome != PromoteOutcome::Unknown;
        after(answered ? _store._faults.latency / 2 : kTimeout,
              [callback, outcome] { callback(outcome); });
    });
}

}  // namespace coralhoist::pooled
