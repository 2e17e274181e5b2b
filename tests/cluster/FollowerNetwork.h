/** Nodes that follow a simulated store through each other, and a judge of how late they are. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "locality/RegionMap.h"
#include "tests/cluster/SimulatedObjectStore.h"

namespace coralhoist::cluster {

/** A kind and the time within which each node in contact with the store must know its changes. */
struct BoundedKind {
    std::string name;
    Duration bound{0};
};

/**
 * Follows the kinds "config", "servers" and "promotions" on a number of nodes in three zones.
 *
 * The judge holds a node to the bounds while it is in contact: for `contact` it has neither stood
 * still nor started, and neither the store nor its own way there has been in trouble. Trouble of
 * other nodes, of links between nodes, of open connections, of watches and of one kind excuses
 * nothing but that kind. Settings and servers are written again by their writers when the store has
 * returned older, and their bound runs from the first writing; promotions are lost then.
 */
class FollowerNetwork {
public:
    /** @param regions of the zones z0, z1 and z2; those of z0 stand with the store. */
    FollowerNetwork(std::size_t nodes, unsigned seed, locality::RegionMap regions = {});
    ~FollowerNetwork();

    /** Runs for a span, judging every 5 ms. */
    void run(Duration span);

    /** Runs an action at a time since the start. */
    void at(Duration time, std::function<void()> action);

    /** Changes an object of the kind; from now on the bound runs. */
    void change(const std::string& kind);

    /** The store is back from a copy of that age. @param rewrittenAfter until others write again.
     */
    void returnStore(Duration age, Duration rewrittenAfter);

    void setStoreTrouble(StoreTrouble trouble);
    void setStoreTrouble(std::size_t node, StoreTrouble trouble);
    void setThrottledKind(const std::string& kind, bool throttled);
    void makeWatchesDeaf() { _store.makeWatchesDeaf(); }
    void forgetHistory() { _store.forgetHistory(); }
    void silenceConnections(std::size_t node);
    /** The process stands still; what comes meanwhile is read afterwards. */
    void setFrozen(std::size_t node, bool frozen);
    void restart(std::size_t node);
    void setLinkCut(std::size_t left, std::size_t right, bool cut);
    /** Between the region of z0 and others: nothing passes, or answers take so long more. */
    void setRegionCut(bool cut);
    void setCrossing(Duration delay) { _crossing = delay; }

    std::size_t nodeCount() const { return _nodes.size(); }
    /** @return calls of the store by nodes of other regions than that of z0. */
    std::size_t crossingCalls() const { return _crossingCalls; }
    /** @return answers that passed between regions. */
    std::size_t crossingAnswers() const { return _crossingAnswers; }

    std::size_t storeCalls() const { return _store.calls(); }

    /** @return each bound that was exceeded, a line each; empty when all were kept. */
    const std::string& violations() const { return _violations; }
    /** @return the longest time for which a change that was in force in the store was unknown to a
     * node in contact. */
    Duration worstDelay(const std::string& kind) const;

private:
    class Node;
    struct Change {
        /** Of the writer; it rises with each change, also across returns of the store. */
        std::uint64_t number = 0;
        TimePoint at{};
    };

    void writeAgain(const std::string& kind);

    void judge();
    void judge(const Node& node, const BoundedKind& kind);
    bool areFar(std::size_t left, std::size_t right) const;
    Duration delayBetween(std::size_t left, std::size_t right) const;
    bool isLinked(std::size_t left, std::size_t right) const;

    simulation::EventQueue _queue;
    SeededRandom _random;
    locality::RegionMap _regions;
    Duration _crossing = std::chrono::milliseconds(30);
    bool _regionCut = false;
    std::size_t _crossingCalls = 0;
    std::size_t _crossingAnswers = 0;
    SimulatedObjectStore _store{_queue};
    TimePoint _start;
    std::vector<std::unique_ptr<Node>> _nodes;
    std::set<std::pair<std::size_t, std::size_t>> _cutLinks;
    std::map<std::string, std::vector<Change>> _changes;
    std::uint64_t _lastNumber = 0;
    /** When all callers, or all calls of one kind, were in trouble last. */
    TimePoint _troubledAt{};
    std::map<std::string, TimePoint> _kindTroubledAt;
    std::set<std::string> _throttledKinds;
    std::map<std::string, Duration> _worst;
    std::string _violations;
    std::set<std::pair<std::size_t, std::string>> _reported;
};

}  // namespace coralhoist::cluster
