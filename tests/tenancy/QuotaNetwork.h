/** Nodes that share quotas over a simulated network with cuts and restarts. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tenancy/QuotaExchange.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::tenancy {

/** One tenant "t" on a number of nodes; time moves in steps of a millisecond. */
class QuotaNetwork {
public:
    QuotaNetwork(std::size_t nodes, TenantQuota quota, QuotaTerms terms);
    ~QuotaNetwork();

    /** Delivers what is due after a step. */
    void step();

    /** A statement arrives. It runs now, or after an answer that it waits for, or never. */
    void submit(std::size_t node);

    /** Links between the nodes in the set and the others are cut; the store is on the other side.
     */
    void cut(const std::set<std::size_t>& nodes) { _cut = nodes; }
    void restart(std::size_t node);
    /** Answers take so long from now on; questions 1 ms. */
    void setAnswerDelay(Duration delay) { _answerDelay = delay; }

    /** @return counters of all lives of all nodes together. */
    QuotaStatistics statistics() const;

    /** No node's settings are confirmed while the store is down. */
    void setStoreDown(bool down) { _storeDown = down; }

    /** @return the most units that ran within a window of the terms. */
    std::size_t busiestWindow() const;

    std::size_t runCount() const { return _runs.size(); }

private:
    class Node;
    struct Packet {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t number = 0;
        std::optional<QuotaQuestion> question;
        QuotaAnswer answer;
        std::uint64_t life = 0;
    };

    bool isConnected(std::size_t left, std::size_t right) const;
    void deliver(const Packet& packet);
    std::size_t indexOf(const NodeName& name) const;

    testing::ManualClock _clock;
    std::size_t _nodeCount;
    TenantQuota _quota;
    QuotaTerms _terms;
    std::vector<std::unique_ptr<Node>> _nodes;
    /** By the time at which they arrive. */
    std::multimap<TimePoint, Packet> _packets;
    Duration _answerDelay = std::chrono::milliseconds(1);
    /** Counters of lives that ended. */
    QuotaStatistics _ended;
    std::set<std::size_t> _cut;
    bool _storeDown = false;
    std::vector<TimePoint> _runs;
    /** Nodes at which statements wait, one entry for each statement. */
    std::vector<std::size_t> _waiting;
};

}  // namespace coralhoist::tenancy
