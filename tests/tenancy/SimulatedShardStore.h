/** Simulation of the platform's store of shard records, with faults, in simulated time. */
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>

#include "tenancy/QuotaShardRecord.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::tenancy {

/** Injected faults of the store. */
struct ShardStoreFaults {
    bool down = false;
    Duration latency = std::chrono::milliseconds(4);
    /** Share of writes that get no response. */
    double answersLost = 0;
    /** Longest delay after which a write without a response is applied, if its condition still
     * holds. */
    Duration latest{0};
};

/** The simulated store. Calls of a node that is cut off are not carried out. */
class SimulatedShardStore {
public:
    SimulatedShardStore(const testing::ManualClock& clock, unsigned seed)
        : _clock(clock), _random(seed) {}

    ShardStoreFaults& faults() { return _faults; }
    void setCut(std::size_t node, bool cut);
    bool isCut(std::size_t node) const { return _faults.down || _cut.contains(node); }

    void load(std::size_t node, std::uint32_t shard,
              std::function<void(const LoadedShard&)> callback);
    void save(std::size_t node, std::uint32_t shard, const QuotaShardRecord& record,
              std::function<void(const SavedShard&)> callback);

    /** Restores the store from a copy of the given age. Later changes are lost, and their versions
     * are assigned again. */
    void returnOlder(Duration age);

    /** Makes responses contain the era from now on. A store that is never restored from an older
     * copy need not show it. */
    void showEras() { _era = kFirstEra; }
    std::uint64_t era() const { return _era; }
    /** @return the era of the store before its first restore, or 0 if eras are not shown. */
    std::uint64_t firstEra() const { return _era == 0 ? 0 : kFirstEra; }

    /** Runs all events that are due. */
    void step();

    /** @return number of calls that reached the store. */
    std::uint64_t calls() const { return _calls; }

private:
    static constexpr std::uint64_t kFirstEra = 1;
    /** Content of the store and of its copies. */
    struct State {
        std::map<std::uint32_t, QuotaShardRecord> records;
        std::uint64_t revision = 10;
    };

    void at(TimePoint time, std::function<void()> action) {
        _events.emplace(time, std::move(action));
    }
    QuotaShardRecord record(std::uint32_t shard) const;
    SavedShard apply(std::uint32_t shard, const QuotaShardRecord& record);

    const testing::ManualClock& _clock;
    std::mt19937 _random;
    ShardStoreFaults _faults;
    std::set<std::size_t> _cut;
    State _state;
    /** State after each change, by the time of the change. */
    std::map<TimePoint, State> _copies;
    /** 0 when responses show no era. */
    std::uint64_t _era = 0;
    std::uint64_t _calls = 0;
    std::multimap<TimePoint, std::function<void()>> _events;
};

}  // namespace coralhoist::tenancy
