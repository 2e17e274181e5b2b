/** Links between simulated nodes, over which they forward units of work. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/pooled/LogConnector.h"
#include "lab/simulation/EventQueue.h"
#include "pooling/LeadershipProof.h"
#include "pooling/StatementPooler.h"
#include "pooling/UnitForwarding.h"

namespace coralhoist::pooled {

class SimulatedProofLinks;

/** What a node shows to the network; lives as long as the node. */
struct NodeEndpoint {
    NodeName name;
    pooling::StatementPooler* pooler = nullptr;
    std::shared_ptr<NodeActivity> activity;
    pooling::ProofEvents* proofs = nullptr;
    SimulatedProofLinks* proofLinks = nullptr;
    /** Sessions of the node's pooler that execute units of other nodes. */
    struct Unit {
        NodeName from;
        std::uint64_t epoch = 0;
        UnitId number;
    };
    std::map<SessionId, Unit> units;
};

/**
 * All nodes and the state of the link between each two. Bytes on a link arrive in order. A link
 * breaks by a fault, or when the forwarding node hears nothing for half a second; its epoch then
 * grows, and what belongs to an earlier epoch is dropped.
 */
class UnitNetwork {
public:
    /** References outlive the network. */
    UnitNetwork(simulation::EventQueue& queue, RandomSource& random)
        : _queue(queue), _random(random) {}

    /** Makes a node known, in place of an earlier life of it. */
    void add(const std::shared_ptr<NodeEndpoint>& endpoint);

    /** @return the nodes as a registry would list them. */
    std::vector<pooling::ProxyNode> nodes() const;

    /** Breaks all links of a random pair of nodes. */
    void breakRandomLink();

    /** Bytes between the node and all others vanish while it is silenced. */
    void setSilenced(const NodeName& node, bool silenced);

    /** @return a name of a node, drawn at random. */
    NodeName randomNode();

    bool answers(const NodeName& from, const NodeName& to) const;
    std::uint64_t epochOf(const NodeName& from, const NodeName& to);
    void breakLink(const NodeName& from, const NodeName& to);
    NodeEndpoint* find(const NodeName& node);

    /** Runs the action at the receiving node after the link's delay, if the epoch still holds. */
    void deliver(const NodeName& from, const NodeName& to, const NodeName& receiver,
                 std::function<void(NodeEndpoint&)> action);

    /** Sends the result of an executed unit's statement back. @return whether it was one. */
    bool reply(NodeEndpoint& executor, SessionId session, const pooling::StatementResult& result);

    /** Told when a link of the node breaks. */
    void onBreak(const NodeName& from, std::function<void(const NodeName& to)> handler) {
        _breakHandlers[from] = std::move(handler);
    }

private:
    using Pair = std::pair<NodeName, NodeName>;

    simulation::EventQueue& _queue;
    RandomSource& _random;
    std::map<NodeName, std::shared_ptr<NodeEndpoint>> _nodes;
    std::map<Pair, std::uint64_t> _epochs;
    std::map<NodeName, std::function<void(const NodeName&)>> _breakHandlers;
    std::set<NodeName> _silenced;
};

/** The forwarding side of one node. */
class SimulatedForwarder final : public pooling::UnitForwarder {
public:
    /** References outlive the forwarder. */
    SimulatedForwarder(UnitNetwork& network, simulation::EventQueue& queue,
                       std::shared_ptr<NodeEndpoint> self);

    /** Gives up links that have been silent for too long. */
    void step();

    bool canReach(const NodeName& node) const override;
    void open(UnitId unit, const NodeName& node, const pooling::UnitOpening& opening,
              const pooling::UnitStatement& statement) override;
    void submit(UnitId unit, const pooling::UnitStatement& statement) override;
    void end(UnitId unit) override;

private:
    struct Link {
        std::set<UnitId> units;
        TimePoint heardAt{};
        TimePoint usableFrom{};
    };

    void onBroken(const NodeName& node);
    void send(UnitId unit, const NodeName& node, const std::optional<pooling::UnitOpening>& opening,
              const pooling::UnitStatement& statement);

    UnitNetwork& _network;
    simulation::EventQueue& _queue;
    std::shared_ptr<NodeEndpoint> _self;
    std::map<NodeName, Link> _links;
    std::map<UnitId, NodeName> _nodeOf;
};

/** Proofs of leadership between one node and the others, over the same links. */
class SimulatedProofLinks final : public pooling::ProofQuestions, public pooling::ProofAnswers {
public:
    /** References outlive the links. */
    SimulatedProofLinks(UnitNetwork& network, const SimulatedForwarder& forwarder,
                        std::shared_ptr<NodeEndpoint> self);

    bool canReach(const NodeName& node) const override { return _forwarder.canReach(node); }
    void askForProof(const NodeName& node, std::uint64_t question,
                     const pooling::ProofNeed& need) override;
    void answerProof(std::uint64_t asker,
                     const std::optional<pooling::HandedProof>& proof) override;

    /** Another node asks. @return the name of its question on this node. */
    std::uint64_t take(const NodeName& from, std::uint64_t question);

private:
    struct Asker {
        NodeName node;
        std::uint64_t question = 0;
    };

    UnitNetwork& _network;
    const SimulatedForwarder& _forwarder;
    std::shared_ptr<NodeEndpoint> _self;
    std::map<std::uint64_t, Asker> _askers;
    std::uint64_t _lastAsker = 0;
};

}  // namespace coralhoist::pooled
