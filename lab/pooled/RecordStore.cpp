#include "lab/pooled/RecordStore.h"

#include <utility>

namespace coralhoist::pooled {
namespace {

using failover::LoadedRecord;
using failover::PromoteOutcome;
using failover::SavedRecord;
using failover::StoreOutcome;

constexpr Duration kTimeout = std::chrono::milliseconds(700);

}  // namespace

SavedRecord RecordStore::apply(const GroupName& group, const failover::PromotionRecord& record) {
    failover::PromotionRecord& known = _records[group];
    if (known.version != record.version) {
        return {StoreOutcome::Conflict, 0};
    }
    // As in the platform's store: a write that changes nothing raises no version.
    if (known == record) {
        return {StoreOutcome::Done, known.version};
    }
    known = record;
    known.version = ++_version;
    return {StoreOutcome::Done, known.version};
}

void StoreClient::after(Duration delay, std::function<void()> action) {
    _store._queue.after(
        delay, [activity = _activity, action = std::move(action)] { activity->run(action); });
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
        loaded.record = _store._records[group];
        after(_store._faults.latency / 2, [callback, loaded] { callback(loaded); });
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
                after(kTimeout, [callback] { callback({StoreOutcome::Unknown, 0}); });
                return;
            }
            if (_store._random.fraction() < _store._faults.answersLost) {
                _store._queue.after(_store._faults.late, [store = &_store, group, record] {
                    store->apply(group, record);
                });
                after(kTimeout, [callback] { callback({StoreOutcome::Unknown, 0}); });
                return;
            }
            const SavedRecord saved = _store.apply(group, record);
            after(_store._faults.latency / 2, [callback, saved] { callback(saved); });
        });
}

void StoreClient::promote(const GroupName& group, const ServerName& server, std::uint64_t fence,
                          std::function<void(PromoteOutcome)> callback) {
    _store._queue.after(
        _store._faults.latency / 2,
        [this, group, server, fence, callback = std::move(callback), activity = _activity] {
            if (activity->hasEnded()) {
                return;
            }
            _store._judge.onPromoteCalled(group, _holder, fence, _store._queue.now());
            const bool running = _store._groups.at(group)->promote(server);
            const PromoteOutcome outcome =
                running ? PromoteOutcome::Accepted : PromoteOutcome::NotRunning;
            after(_store._faults.latency / 2, [callback, outcome] { callback(outcome); });
        });
}

}  // namespace coralhoist::pooled
