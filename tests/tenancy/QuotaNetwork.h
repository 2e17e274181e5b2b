/** Nodes that share quotas over a simulated network and store, both with injectable faults. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tenancy/QuotaExchange.h"
#include "tests/support/ManualClock.h"
#include "tests/tenancy/GatedNode.h"
#include "tests/tenancy/SimulatedShardStore.h"

namespace coralhoist::tenancy {

/** One tenant "t" on several nodes; time advances in steps of one millisecond. */
class QuotaNetwork {
public:
    /**
     * @param catalog services of callers that come through gates; null: statements are sent without
     * gates.
     */
    QuotaNetwork(std::size_t nodes, TenantQuota quota, QuotaTerms terms, unsigned seed = 1,
                 std::shared_ptr<const pooling::ServiceCatalog> catalog = nullptr);
    ~QuotaNetwork();

    /** Delivers the messages that are due after one step of time. */
    void step();

    /**
     * Sends a statement to a node. It runs immediately, or after a response that it waits for, or
     * never.
     */
    void submit(std::size_t node);

    /** Checks for the given number of units at a node without taking them. */
    QuotaDecision look(std::size_t node, std::uint32_t count);
    /** Takes a unit that `look` has found. */
    void takeHeld(std::size_t node);

    /**
     * Sends a request of a caller to a service of the rank through the node's gate; the caller
     * retries when refused.
     */
    void ask(std::size_t node, std::uint32_t rank);
    /** Disconnects the most recent caller of a node. */
    void leave(std::size_t node);
    const CallersServed& served() const { return _served; }
    /** @return the summed gate counters of all nodes' current incarnations. */
    GateStatistics gateStatistics() const;

    /**
     * Cuts the links between the nodes in the set and the others, with the store on the side of the
     * others.
     */
    void cut(const std::set<std::size_t>& nodes);
    /** Cuts the links between the nodes in the set and the others; all nodes reach the store. */
    void cutFromEachOther(const std::set<std::size_t>& nodes) { _cut = nodes; }
    /** Cuts the link between two nodes in both directions. */
    void setLinkCut(std::size_t left, std::size_t right, bool cut);
    /** Cuts the node off from the store. */
    void setStoreCut(std::size_t node, bool cut) { _store.setCut(node, cut); }
    void setStoreDown(bool down) { _store.faults().down = down; }
    SimulatedShardStore& store() { return _store; }
    /**
     * Lets the store include its era in each response, as a store does that may be restored to an
     * older state.
     */
    void showEras();

    /** Stops the process of a node without a shutdown. */
    void stop(std::size_t node);
    void start(std::size_t node);
    void restart(std::size_t node);
    bool isRunning(std::size_t node) const;
    /** Suspends the process; messages that arrive meanwhile are read after it resumes. */
    void setFrozen(std::size_t node, bool frozen);
    /**
     * Starts a planned shutdown: the node gives up leadership and continues as a requesting node
     * only.
     */
    void beginLeaving(std::size_t node);

    /** Sets the delay of all nodes' responses from now on; requests take 1 ms. */
    void setAnswerDelay(Duration delay);
    void setAnswerDelay(std::size_t node, Duration delay);

    /** Sets the nodes that a node lists. */
    void setListed(std::size_t node, const std::set<std::size_t>& listed);

    /** Changes the quota; all nodes learn of it immediately. */
    void setQuota(TenantQuota quota);

    /** @return the maximum number of units that ran within any window of the terms. */
    std::size_t busiestWindow() const;
    /** @return the maximum number of units that ran within any window that begins at or after the
     * given time. */
    std::size_t busiestWindowSince(TimePoint begin) const;
    TimePoint now() const { return _clock.now(); }

    std::size_t runCount() const { return _runs.size(); }
    std::size_t refusedCount() const { return _refused; }
    /** Numbers of statements that ran or were refused at a node. */
    struct NodeOutcome {
        std::size_t ran = 0;
        std::size_t refused = 0;
    };
    NodeOutcome outcomeAt(std::size_t node) const;
    /** @return the indices of the running nodes that consider themselves leader of the tenant's
     * shard. */
    std::vector<std::size_t> leaders() const;
    /** @return the indices of the running nodes that consider themselves deputies of the leader. */
    std::vector<std::size_t> deputies() const;
    /** @return the summed counters of all incarnations of all nodes. */
    QuotaStatistics statistics() const;

private:
    class Node;
    /** A message in transit. */
    struct Packet {
        enum class Kind { Question, Answer, Update, Ack };
        Kind kind = Kind::Question;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t number = 0;
        QuotaRequest question;
        QuotaResponse answer;
        LedgerUpdate update;
        LedgerAck ack;
        /** Incarnation of the node that sent the request. */
        std::uint64_t incarnation = 0;
        /** Incarnation of the node to which a request or update was sent. */
        std::uint64_t targetIncarnation = 0;
    };

    bool isConnected(std::size_t left, std::size_t right) const;
    void send(Packet packet, Duration delay);
    void deliver(const Packet& packet);
    void runWaiting();
    std::size_t indexOf(const NodeName& name) const;

    testing::ManualClock _clock;
    SimulatedShardStore _store;
    std::size_t _nodeCount;
    TenantQuota _quota;
    QuotaTerms _terms;
    std::vector<std::unique_ptr<Node>> _nodes;
    /** Ordered by arrival time. */
    std::multimap<TimePoint, Packet> _packets;
    std::set<std::size_t> _cut;
    std::set<std::pair<std::size_t, std::size_t>> _cutLinks;
    /** Counters of incarnations that ended. */
    QuotaStatistics _ended;
    std::shared_ptr<const pooling::ServiceCatalog> _catalog;
    CallersServed _served;
    std::vector<TimePoint> _runs;
    std::size_t _refused = 0;
    std::map<std::size_t, NodeOutcome> _outcomes;
    /** Nodes at which statements are queued, one entry per statement. */
    std::vector<std::size_t> _waiting;
};

}  // namespace coralhoist::tenancy
