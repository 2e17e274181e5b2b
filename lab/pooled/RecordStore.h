/** Simulated store of promotion records, and the promotion call. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/StoreEra.h"
#include "base/SystemTime.h"
#include "failover/PromotionRecord.h"
#include "lab/pooled/LogConnector.h"
#include "lab/pooled/LogGroup.h"
#include "lab/pooled/PooledJudge.h"

namespace coralhoist::pooled {

/** Faults of the store. */
struct StoreFaults {
    bool down = false;
    /** Share of writes that are done and not answered. */
    double answersLost = 0;
    /** Such writes are done so much later, if their condition still holds. */
    Duration late{0};
    Duration latency = std::chrono::milliseconds(4);
};

/** Faults of the promotion call. */
struct CallFaults {
    /** Share of calls that are not answered; carried out at a random time up to longestDelay. */
    double answersLost = 0;
    Duration longestDelay{0};
    /** Share of calls that find the server restarting. */
    double restarts = 0;
    /** Time until the connection of a call is open. */
    Duration opening{0};
};

/**
 * The store: one record for each group, versions that grow with every change. It may return from an
 * older copy of itself; then versions are given out again.
 */
class RecordStore {
public:
    RecordStore(simulation::EventQueue& queue, RandomSource& random, PooledJudge& judge)
        : _queue(queue), _random(random), _judge(judge) {}

    StoreFaults& faults() { return _faults; }
    CallFaults& callFaults() { return _callFaults; }
    /** @return promotions that were carried out without an answer. */
    std::uint64_t unansweredCalls() const { return _unansweredCalls; }
    /** @return promotions that found the server restarting. */
    std::uint64_t callsToRestarting() const { return _callsToRestarting; }
    /** @return the record; where there is none, its version has the era alone. */
    failover::PromotionRecord record(const GroupName& group) const;
    std::uint64_t era() const { return _era; }
    /** From now on answers show the era; a store that never returns older need not. */
    void showEras() { _era = 1; }
    void addGroup(LogGroup& group) { _groups[group.name()] = &group; }

    /** The store comes back from a copy of that age: later changes are gone. */
    void returnOlder(Duration age);

private:
    friend class StoreClient;
    /** All that a copy of the store holds. Versions of records are of the era of their writing. */
    struct State {
        std::map<GroupName, failover::PromotionRecord> records;
        std::uint64_t revision = 10;
    };

    failover::PromoteOutcome call(const GroupName& group, const ServerName& server,
                                  std::uint64_t fence);
    void callLate(const GroupName& group, const ServerName& server, std::uint64_t fence);
    void restartBeforeCall(const GroupName& group, const ServerName& server);
    failover::SavedRecord apply(const GroupName& group, const failover::PromotionRecord& record);

    simulation::EventQueue& _queue;
    RandomSource& _random;
    PooledJudge& _judge;
    StoreFaults _faults;
    CallFaults _callFaults;
    std::uint64_t _unansweredCalls = 0;
    std::uint64_t _callsToRestarting = 0;
    std::map<GroupName, std::uint64_t> _newestFence;
    std::map<GroupName, LogGroup*> _groups;
    State _state;
    /** The state after each change, by its time. */
    std::map<TimePoint, State> _copies;
    /** 0: answers show none. */
    std::uint64_t _era = 0;
};

/** One node's access to the store and to the promotion call. */
class StoreClient final : public failover::PromotionStore, public failover::PromotionCaller {
public:
    /** @param era of the node, which learns it from each answer. */
    StoreClient(RecordStore& store, std::shared_ptr<NodeActivity> activity, std::string holder,
                StoreEra& era)
        : _store(store), _activity(std::move(activity)), _holder(std::move(holder)), _era(era) {}

    /** The node is cut off from the store. */
    void setCut(bool cut) { _cut = cut; }
    bool isCut() const { return _cut; }

    void load(const GroupName& group,
              std::function<void(const failover::LoadedRecord&)> callback) override;
    void save(const GroupName& group, const failover::PromotionRecord& record,
              std::function<void(const failover::SavedRecord&)> callback) override;
    void promote(const failover::PromotionCall& call,
                 std::function<void(failover::PromoteOutcome)> callback) override;

private:
    bool isDown() const { return _cut || _store._faults.down; }
    void transmit(const failover::PromotionCall& call,
                  std::function<void(failover::PromoteOutcome)> callback);
    void answerAfter(Duration delay, std::function<void()> action);
    void after(Duration delay, std::function<void()> action);

    RecordStore& _store;
    std::shared_ptr<NodeActivity> _activity;
    std::string _holder;
    StoreEra& _era;
    bool _cut = false;
};

}  // namespace coralhoist::pooled
