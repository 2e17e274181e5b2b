#include "lab/pooled/UnitNetwork.h"

#include <iterator>
#include <utility>

namespace coralhoist::pooled {

using pooling::SessionState;
using pooling::StatementResult;
using pooling::UnitLoss;
using pooling::UnitOpening;
using pooling::UnitResult;
using pooling::UnitStatement;
using std::chrono::milliseconds;

namespace {

constexpr Duration kLinkDelay = milliseconds(1);
constexpr Duration kSilenceTimeout = milliseconds(500);
constexpr Duration kPause = milliseconds(200);
constexpr std::uint16_t kAnyPort = 1;

}  // namespace

void UnitNetwork::add(const std::shared_ptr<NodeEndpoint>& endpoint) {
    if (_nodes.contains(endpoint->name)) {
        // Connections of the earlier life are reset.
        for (const auto& [other, unused] : _nodes) {
            breakLink(other, endpoint->name);
            breakLink(endpoint->name, other);
        }
    }
    _nodes[endpoint->name] = endpoint;
}

std::vector<pooling::ProxyNode> UnitNetwork::nodes() const {
    std::vector<pooling::ProxyNode> result;
    for (const auto& [name, endpoint] : _nodes) {
        result.push_back({name, ZoneName(), "10.0.0.1", kAnyPort});
    }
    return result;
}

NodeEndpoint* UnitNetwork::find(const NodeName& node) {
    const auto found = _nodes.find(node);
    return found == _nodes.end() ? nullptr : found->second.get();
}

NodeName UnitNetwork::randomNode() {
    return std::next(_nodes.begin(), static_cast<long>(_random.below(_nodes.size())))->first;
}

void UnitNetwork::breakRandomLink() {
    const NodeName one = randomNode();
    const NodeName other = randomNode();
    breakLink(one, other);
    breakLink(other, one);
}

void UnitNetwork::setSilenced(const NodeName& node, bool silenced) {
    if (silenced) {
        _silenced.insert(node);
    } else {
        _silenced.erase(node);
    }
}

/** @return whether heartbeats of the other node come through. */
bool UnitNetwork::answers(const NodeName& from, const NodeName& to) const {
    const auto found = _nodes.find(to);
    return found != _nodes.end() && !found->second->activity->isFrozen() &&
           !found->second->activity->hasEnded() && !_silenced.contains(from) &&
           !_silenced.contains(to);
}

std::uint64_t UnitNetwork::epochOf(const NodeName& from, const NodeName& to) {
    return _epochs[{from, to}];
}

void UnitNetwork::breakLink(const NodeName& from, const NodeName& to) {
    const std::uint64_t broken = _epochs[{from, to}]++;
    if (const auto handler = _breakHandlers.find(from); handler != _breakHandlers.end()) {
        handler->second(to);
    }
    // The executing node sees the end of the connection a little later, or when it goes on.
    const std::shared_ptr<NodeEndpoint> executor = _nodes[to];
    _queue.after(kLinkDelay, [executor, from, broken] {
        executor->activity->run([executor, from, broken] {
            std::vector<SessionId> ended;
            for (const auto& [session, unit] : executor->units) {
                if (unit.from == from && unit.epoch <= broken) {
                    ended.push_back(session);
                }
            }
            for (const SessionId session : ended) {
                executor->units.erase(session);
                executor->pooler->endSession(session);
            }
        });
    });
}

void UnitNetwork::deliver(const NodeName& from, const NodeName& to, const NodeName& receiver,
                          std::function<void(NodeEndpoint&)> action) {
    const std::uint64_t epoch = epochOf(from, to);
    const std::shared_ptr<NodeEndpoint> endpoint = _nodes[receiver];
    _queue.after(kLinkDelay, [this, from, to, epoch, endpoint, action = std::move(action)] {
        if (_silenced.contains(from) || _silenced.contains(to)) {
            return;
        }
        endpoint->activity->run([this, from, to, epoch, endpoint, action] {
            if (epochOf(from, to) == epoch) {
                action(*endpoint);
            }
        });
    });
}

bool UnitNetwork::reply(NodeEndpoint& executor, SessionId session, const StatementResult& result) {
    const auto found = executor.units.find(session);
    if (found == executor.units.end()) {
        return false;
    }
    const NodeEndpoint::Unit unit = found->second;
    const UnitResult answer{result, executor.pooler->ownFloorOf(session)};
    if (result.state != SessionState::InTransaction) {
        executor.units.erase(found);
        executor.pooler->endSession(session);
    }
    if (unit.epoch == epochOf(unit.from, executor.name)) {
        deliver(unit.from, executor.name, unit.from, [unit, answer](NodeEndpoint& receiver) {
            receiver.pooler->onUnitResult(unit.number, answer);
        });
    }
    return true;
}

SimulatedForwarder::SimulatedForwarder(UnitNetwork& network, simulation::EventQueue& queue,
                                       std::shared_ptr<NodeEndpoint> self)
    : _network(network), _queue(queue), _self(std::move(self)) {
    _network.onBreak(_self->name, [this](const NodeName& node) { onBroken(node); });
}

bool SimulatedForwarder::canReach(const NodeName& node) const {
    const auto found = _links.find(node);
    return found == _links.end() || _queue.now() >= found->second.usableFrom;
}

void SimulatedForwarder::open(UnitId unit, const NodeName& node, const UnitOpening& opening,
                              const UnitStatement& statement) {
    Link& link = _links[node];
    if (link.units.empty()) {
        link.heardAt = _queue.now();
    }
    link.units.insert(unit);
    _nodeOf[unit] = node;
    send(unit, node, opening, statement);
}

void SimulatedForwarder::submit(UnitId unit, const UnitStatement& statement) {
    const auto found = _nodeOf.find(unit);
    if (found != _nodeOf.end()) {
        send(unit, found->second, std::nullopt, statement);
    }
}

void SimulatedForwarder::send(UnitId unit, const NodeName& node,
                              const std::optional<UnitOpening>& opening,
                              const UnitStatement& statement) {
    const NodeName from = _self->name;
    const std::uint64_t epoch = _network.epochOf(from, node);
    _network.deliver(from, node, node, [=](NodeEndpoint& executor) {
        if (opening) {
            const SessionId session = executor.pooler->openUnit(*opening);
            executor.units[session] = {from, epoch, unit};
        }
        for (const auto& [session, open] : executor.units) {
            if (open.from == from && open.epoch == epoch && open.number == unit) {
                executor.pooler->submitUnit(SessionId(session), statement);
                return;
            }
        }
    });
}

void SimulatedForwarder::end(UnitId unit) {
    const auto found = _nodeOf.find(unit);
    if (found == _nodeOf.end()) {
        return;
    }
    const NodeName node = found->second;
    const NodeName from = _self->name;
    _links[node].units.erase(unit);
    _nodeOf.erase(found);
    _network.deliver(from, node, node, [from, unit](NodeEndpoint& executor) {
        for (const auto& [session, open] : executor.units) {
            if (open.from == from && open.number == unit) {
                const SessionId ended = session;
                executor.units.erase(session);
                executor.pooler->endSession(ended);
                return;
            }
        }
    });
}

void SimulatedForwarder::onBroken(const NodeName& node) {
    Link& link = _links[node];
    link.usableFrom = _queue.now() + kPause;
    const std::set<UnitId> units = std::exchange(link.units, {});
    for (const UnitId unit : units) {
        _nodeOf.erase(unit);
    }
    _self->activity->run([self = _self, units] {
        for (const UnitId unit : units) {
            self->pooler->onUnitLost(unit, UnitLoss::Unanswered);
        }
    });
}

void SimulatedForwarder::step() {
    std::vector<NodeName> silent;
    for (auto& [node, link] : _links) {
        if (link.units.empty() || _network.answers(_self->name, node)) {
            link.heardAt = _queue.now();
        } else if (_queue.now() - link.heardAt > kSilenceTimeout) {
            silent.push_back(node);
        }
    }
    for (const NodeName& node : silent) {
        _network.breakLink(_self->name, node);
    }
}

SimulatedProofLinks::SimulatedProofLinks(UnitNetwork& network, const SimulatedForwarder& forwarder,
                                         std::shared_ptr<NodeEndpoint> self)
    : _network(network), _forwarder(forwarder), _self(std::move(self)) {}

void SimulatedProofLinks::askForProof(const NodeName& node, std::uint64_t question,
                                      const pooling::ProofNeed& need) {
    const NodeName from = _self->name;
    _network.deliver(from, node, node, [from, question, need](NodeEndpoint& receiver) {
        receiver.proofs->onProofAsked({receiver.proofLinks->take(from, question), need});
    });
}

std::uint64_t SimulatedProofLinks::take(const NodeName& from, std::uint64_t question) {
    _askers[++_lastAsker] = {from, question};
    return _lastAsker;
}

void SimulatedProofLinks::answerProof(std::uint64_t asker,
                                      const std::optional<pooling::HandedProof>& proof) {
    const Asker answered = _askers.at(asker);
    _askers.erase(asker);
    _network.deliver(answered.node, _self->name, answered.node,
                     [question = answered.question, proof](NodeEndpoint& receiver) {
                         receiver.proofs->onProofAnswer(question, proof);
                     });
}

}  // namespace coralhoist::pooled
