#include "tests/tenancy/SimulatedShardStore.h"

#include <utility>

namespace coralhoist::tenancy {
namespace {

/** Timeout of a call that gets no response. */
constexpr Duration kTimeout = std::chrono::milliseconds(700);

}  // namespace

void SimulatedShardStore::setCut(std::size_t node, bool cut) {
    if (cut) {
        _cut.insert(node);
    } else {
        _cut.erase(node);
    }
}

void SimulatedShardStore::step() {
    while (!_events.empty() && _events.begin()->first <= _clock.now()) {
        const auto event = _events.extract(_events.begin());
        event.mapped()();
    }
}

void SimulatedShardStore::load(std::size_t node, std::uint32_t shard,
                               std::function<void(const LoadedShard&)> callback) {
    if (isCut(node)) {
        at(_clock.now() + kTimeout, [callback = std::move(callback)] { callback({}); });
        return;
    }
    ++_calls;
    at(_clock.now() + _faults.latency / 2, [this, shard, callback = std::move(callback)]() mutable {
        LoadedShard loaded;
        loaded.outcome = StoreOutcome::Done;
        loaded.record = record(shard);
        at(_clock.now() + _faults.latency / 2,
           [loaded, callback = std::move(callback)] { callback(loaded); });
    });
}

QuotaShardRecord SimulatedShardStore::record(std::uint32_t shard) const {
    const auto found = _state.records.find(shard);
    QuotaShardRecord record = found == _state.records.end() ? QuotaShardRecord{} : found->second;
    record.version.era = _era;
    return record;
}

SavedShard SimulatedShardStore::apply(std::uint32_t shard, const QuotaShardRecord& record) {
    QuotaShardRecord stored = this->record(shard);
    // The store compares revisions only and does not know the writer's era, so a revision that was
    // assigned again matches.
    if (stored.version.revision != record.version.revision) {
        return {StoreOutcome::Conflict, {_era, 0}};
    }
    const bool isOfThisEra = record.version.era == _era;
    stored.version = record.version;
    // A write of identical content is no change.
    if (stored != record) {
        _state.records[shard] = record;
        _state.records[shard].version.revision = ++_state.revision;
        _copies[_clock.now()] = _state;
    }
    const StoreOutcome outcome = isOfThisEra ? StoreOutcome::Done : StoreOutcome::Conflict;
    return {outcome, this->record(shard).version};
}

void SimulatedShardStore::returnOlder(Duration age) {
    const auto later = _copies.upper_bound(_clock.now() - age);
    _state = later == _copies.begin() ? State{} : std::prev(later)->second;
    _copies.erase(later, _copies.end());
    ++_era;
}

void SimulatedShardStore::save(std::size_t node, std::uint32_t shard,
                               const QuotaShardRecord& record,
                               std::function<void(const SavedShard&)> callback) {
    if (isCut(node)) {
        at(_clock.now() + kTimeout, [callback = std::move(callback)] {
            callback({StoreOutcome::Unknown, {}});
        });
        return;
    }
    ++_calls;
    if (std::bernoulli_distribution(_faults.answersLost)(_random)) {
        const auto latest = _faults.latest.count();
        const Duration late(std::uniform_int_distribution<Duration::rep>(0, latest)(_random));
        at(_clock.now() + late, [this, shard, record] { apply(shard, record); });
        at(_clock.now() + kTimeout, [callback = std::move(callback)] {
            callback({StoreOutcome::Unknown, {}});
        });
        return;
    }
    at(_clock.now() + _faults.latency / 2,
       [this, shard, record, callback = std::move(callback)]() mutable {
           const SavedShard saved = apply(shard, record);
           at(_clock.now() + _faults.latency / 2,
              [saved, callback = std::move(callback)] { callback(saved); });
       });
}

}  // namespace coralhoist::tenancy
