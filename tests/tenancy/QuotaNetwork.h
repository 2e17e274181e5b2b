/** Nodes that share quotas over a simulated network and store, with faults of both. */
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

/** One tenant "t" on a number of nodes; time moves in steps of a millisecond. */
class QuotaNetwork {
public:
    /** @param catalog services of callers that come through gates; null: statements come alone. */
    QuotaNetwork(std::size_t nodes, TenantQuota quota, QuotaTerms terms, unsigned seed = 1,
                 std::shared_ptr<const pooling::ServiceCatalog> catalog = nullptr);
    ~QuotaNetwork();

    /** Delivers what is due after a step. */
    void step();

    /** A statement arrives. It runs now, or after an answer that it waits for, or never. */
    void submit(std::size_t node);

    /** Looks for so many units at a node, which are not taken. */
    QuotaVerdict look(std::size_t node, std::uint32_t count);
    /** Takes a unit that has been found. */
    void takeHeld(std::size_t node);

    /** A caller of a service of the rank comes to the node's gate, and comes back when refused. */
    void ask(std::size_t node, std::uint32_t rank);
    /** The newest caller of a node leaves. */
    void leave(std::size_t node);
    const CallersServed& served() const { return _served; }
    /** @return counters of the gates of all nodes' newest lives together. */
    GateStatistics gateStatistics() const;

    /** Links between the nodes in the set and the others are cut; the store is on the other side.
     */
    void cut(const std::set<std::size_t>& nodes);
    /** Links between the nodes in the set and the others are cut; all reach the store. */
    void cutFromEachOther(const std::set<std::size_t>& nodes) { _cut = nodes; }
    /** The link between two nodes is cut, in both directions. */
    void setLinkCut(std::size_t left, std::size_t right, bool cut);
    /** The node reaches the store no more. */
    void setStoreCut(std::size_t node, bool cut) { _store.setCut(node, cut); }
    void setStoreDown(bool down) { _store.faults().down = down; }
    SimulatedShardStore& store() { return _store; }
    /** The store shows its era in each answer, as one that may return older does. */
    void showEras();

    /** Ends the process of a node. */
    void stop(std::size_t node);
    void start(std::size_t node);
    void restart(std::size_t node);
    bool isRunning(std::size_t node) const;
    /** The process stands still; what comes meanwhile is read afterwards. */
    void setFrozen(std::size_t node, bool frozen);
    /** A planned stop begins: the node leads nothing more and goes on as an asking node. */
    void beginLeaving(std::size_t node);

    /** Answers of all nodes take so long from now on; questions 1 ms. */
    void setAnswerDelay(Duration delay);
    void setAnswerDelay(std::size_t node, Duration delay);

    /** The nodes that a node lists. */
    void setListed(std::size_t node, const std::set<std::size_t>& listed);

    /** The quota changes; each node learns of it at once. */
    void setQuota(TenantQuota quota);

    /** @return the most units that ran within a window of the terms. */
    std::size_t busiestWindow() const;
    /** @return the same of the windows that begin from now on, as of a later moment. */
    std::size_t busiestWindowSince(TimePoint begin) const;
    TimePoint now() const { return _clock.now(); }

    std::size_t runCount() const { return _runs.size(); }
    std::size_t refusedCount() const { return _refused; }
    /** Statements that ran or were refused at a node. */
    struct Judged {
        std::size_t ran = 0;
        std::size_t refused = 0;
    };
    Judged judgedAt(std::size_t node) const;
    /** @return nodes that lead the tenant's shard by their own view. */
    std::vector<std::size_t> leaders() const;
    /** @return nodes that are deputies of the leader by their own view. */
    std::vector<std::size_t> deputies() const;
    /** @return counters of all lives of all nodes together. */
    QuotaStatistics statistics() const;

private:
    class Node;
    /** A message on its way. */
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
        /** Life of the node that asked. */
        std::uint64_t life = 0;
        /** Life of the node to which a question or update was sent. */
        std::uint64_t targetLife = 0;
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
    /** By the time at which they arrive. */
    std::multimap<TimePoint, Packet> _packets;
    std::set<std::size_t> _cut;
    std::set<std::pair<std::size_t, std::size_t>> _cutLinks;
    /** Counters of lives that ended. */
    QuotaStatistics _ended;
    std::shared_ptr<const pooling::ServiceCatalog> _catalog;
    CallersServed _served;
    std::vector<TimePoint> _runs;
    std::size_t _refused = 0;
    std::map<std::size_t, Judged> _judged;
    /** Nodes at which statements wait, one entry for each statement. */
    std::vector<std::size_t> _waiting;
};

}  // namespace coralhoist::tenancy
