/** Plays faults against the parts of a seeded run. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/pooled/LogGroup.h"
#include "lab/pooled/PooledFault.h"
#include "lab/pooled/PooledNode.h"
#include "lab/pooled/RecordStore.h"
#include "lab/pooled/UnitNetwork.h"
#include "lab/simulation/EventQueue.h"

namespace coralhoist::pooled {

/** How often what faults bring about has happened. */
struct FaultCounts {
    std::uint64_t nodeCuts = 0;
    /** Times that a node reached a replaced primary while its successor was out of reach. */
    std::uint64_t replacedReached = 0;
    std::uint64_t lapses = 0;
    std::uint64_t renames = 0;
    std::uint64_t replacements = 0;
    /** Restarts of a replica that had been told to stop receiving. */
    std::uint64_t pausesForgotten = 0;
    std::uint64_t serviceMoves = 0;
};

/** What faults act on. All outlive them. */
struct FaultTargets {
    simulation::EventQueue& queue;
    SeededRandom& random;
    LogGroup& group;
    RecordStore& store;
    UnitNetwork& network;
    /** A node that has ended is null until it starts again. */
    std::vector<std::unique_ptr<PooledNode>>& nodes;
    std::function<void(std::size_t index)> killNode;
    std::function<void(std::size_t index)> startNode;
    /** Moves services between the groups of the run, for all nodes that start from now on. */
    std::function<void()> moveServices;
};

/** Begins faults and heals them. */
class PooledFaults {
public:
    explicit PooledFaults(FaultTargets targets) : _targets(std::move(targets)) {}

    /** Begins a fault now; its end is scheduled. */
    void begin(PooledFault fault);

    const FaultCounts& counts() const { return _counts; }

private:
    void beginServerFault(PooledFault fault);

    LogServer& primary();
    LogServer& replica();
    Duration faultTime();
    /** @return a random time between the bounds. */
    Duration between(Duration least, Duration most);
    bool chance(std::uint64_t percent) { return _targets.random.below(100) < percent; }
    void after(Duration delay, std::function<void()> action);
    void heal(std::function<void()> action) { after(faultTime(), std::move(action)); }
    void crashFor(LogServer& server, Duration time);
    void cutNode(std::size_t index, const ServerName& server, bool cut);

    void cutNodes(bool all);
    void leave();
    void freezeNode();
    void killNode();
    void killAllNodes();
    void isolatePrimary();
    void deafenReplica();
    void slowReplica();
    void cutNodeFromStore();
    void stopStore();
    void returnStoreOlder(const std::function<void()>& onReturn);
    void loseStoreAnswers();
    void setAnswersLost(double share);
    void loseServerAnswers();
    void breakLinks(int times);
    void silenceNode();
    void misplacePrimary();
    void moveServices(int times);

    void crowdServers(TimePoint end);
    void crowd(LogServer& server);
    void cutNodesFromServers();
    void leadOn();
    void awaitSuccessor(const ServerName& old, std::uint64_t promotions, TimePoint end);
    void swapReachable(const ServerName& old, TimePoint end);
    void rejoinAll(const ServerName& old);
    void lapseAnnouncements();
    void lapse(LogServer& server, Duration time);
    void lapseWithStore();
    void renameServer();
    void replaceReplica();
    void troublePromotionCalls();
    void restartReplicas(int times);
    void promoteUnheard();

    FaultTargets _targets;
    FaultCounts _counts;
};

}  // namespace coralhoist::pooled
