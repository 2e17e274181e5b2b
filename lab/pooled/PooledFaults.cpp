#include "lab/pooled/PooledFaults.h"

#include <utility>

namespace coralhoist::pooled {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLinkBreaks = 12;
constexpr int kServiceMoves = 8;
/** Nodes apply new settings within this time of each other. */
constexpr Duration kSettingsSpread = milliseconds(60);

}  // namespace

void PooledFaults::after(Duration delay, std::function<void()> action) {
    _targets.queue.after(delay, std::move(action));
}

Duration PooledFaults::between(Duration least, Duration most) {
    const auto span = std::chrono::duration_cast<milliseconds>(most - least);
    return least +
           milliseconds(_targets.random.below(static_cast<std::uint64_t>(span.count()) + 1));
}

LogServer& PooledFaults::primary() {
    LogServer* best = _targets.group.servers().front().get();
    for (const auto& server : _targets.group.servers()) {
        if (server->primary && server->term >= best->term) {
            best = server.get();
        }
    }
    return *best;
}

LogServer& PooledFaults::replica() {
    std::vector<LogServer*> replicas;
    for (const auto& server : _targets.group.servers()) {
        if (!server->primary && !server->left) {
            replicas.push_back(server.get());
        }
    }
    return replicas.empty() ? primary() : *replicas[_targets.random.below(replicas.size())];
}

Duration PooledFaults::faultTime() {
    return milliseconds(500 + _targets.random.below(3500));
}

void PooledFaults::crashFor(LogServer& server, Duration time) {
    if (!server.running) {
        return;
    }
    _targets.group.crash(server);
    after(time, [this, &server] { _targets.group.restart(server); });
}

void PooledFaults::cutNodes(bool all) {
    const ServerName name = primary().name;
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        if (!_targets.nodes[index] || (!all && index == 0)) {
            continue;
        }
        _targets.nodes[index]->connector().faults().cut.insert(name);
        heal([this, index, name] {
            if (_targets.nodes[index]) {
                _targets.nodes[index]->connector().faults().cut.erase(name);
            }
        });
    }
}

void PooledFaults::leave() {
    LogServer& server = primary();
    server.draining = true;
    after(seconds(3), [this, &server] {
        crashFor(server, milliseconds(500));
        server.draining = false;
    });
}

void PooledFaults::freezeNode() {
    const std::size_t index = _targets.random.below(_targets.nodes.size());
    if (!_targets.nodes[index]) {
        return;
    }
    _targets.nodes[index]->freeze();
    heal([this, index] {
        if (_targets.nodes[index]) {
            _targets.nodes[index]->thaw();
        }
    });
}

void PooledFaults::killNode() {
    const std::size_t index = _targets.random.below(_targets.nodes.size());
    if (!_targets.nodes[index]) {
        return;
    }
    _targets.killNode(index);
    heal([this, index] { _targets.startNode(index); });
}

void PooledFaults::killAllNodes() {
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        if (_targets.nodes[index]) {
            _targets.killNode(index);
            heal([this, index] { _targets.startNode(index); });
        }
    }
}

void PooledFaults::isolatePrimary() {
    const ServerName name = primary().name;
    _targets.group.setIsolated(name, true);
    heal([this, name] { _targets.group.setIsolated(name, false); });
}

void PooledFaults::deafenReplica() {
    LogServer& server = replica();
    server.deaf = true;
    heal([&server] { server.deaf = false; });
}

void PooledFaults::slowReplica() {
    LogServer& server = replica();
    server.applyLag = milliseconds(300 + _targets.random.below(900));
    heal([&server] { server.applyLag = Duration(0); });
}

void PooledFaults::cutNodeFromStore() {
    const std::size_t index = _targets.random.below(_targets.nodes.size());
    if (!_targets.nodes[index]) {
        return;
    }
    _targets.nodes[index]->setStoreCut(true);
    heal([this, index] {
        if (_targets.nodes[index]) {
            _targets.nodes[index]->setStoreCut(false);
        }
    });
}

void PooledFaults::stopStore() {
    _targets.store.faults().down = true;
    heal([this] { _targets.store.faults().down = false; });
}

void PooledFaults::returnStoreOlder(const std::function<void()>& onReturn) {
    const Duration away = between(milliseconds(50), milliseconds(2500));
    const Duration age = away + between(milliseconds(0), milliseconds(3500));
    _targets.store.faults().down = true;
    after(away, [this, age, onReturn] {
        _targets.store.returnOlder(age);
        _targets.store.faults().down = false;
        onReturn();
    });
}

void PooledFaults::loseStoreAnswers() {
    _targets.store.faults().answersLost = 0.4;
    _targets.store.faults().late =
        milliseconds(_targets.random.below(2) * _targets.random.below(3000));
    heal([this] { _targets.store.faults().answersLost = 0; });
}

void PooledFaults::setAnswersLost(double share) {
    for (const auto& node : _targets.nodes) {
        if (node) {
            node->connector().faults().answersLost = share;
        }
    }
}

void PooledFaults::loseServerAnswers() {
    setAnswersLost(0.05);
    heal([this] { setAnswersLost(0); });
}

void PooledFaults::breakLinks(int times) {
    _targets.network.breakRandomLink();
    if (times > 1) {
        after(milliseconds(20 + _targets.random.below(200)),
              [this, times] { breakLinks(times - 1); });
    }
}

void PooledFaults::silenceNode() {
    const NodeName node = _targets.network.randomNode();
    _targets.network.setSilenced(node, true);
    heal([this, node] { _targets.network.setSilenced(node, false); });
}

/** Nodes follow the request, and its end, up to a second apart. */
void PooledFaults::misplacePrimary() {
    const std::uint16_t port = primary().port;
    const Duration time = between(milliseconds(2500), milliseconds(4500));
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        const Duration known = between(milliseconds(0), milliseconds(1000));
        after(known, [this, index, port] {
            if (_targets.nodes[index]) {
                _targets.nodes[index]->placement().lastResort.insert(port);
            }
        });
        after(known + time, [this, index, port] {
            if (_targets.nodes[index]) {
                _targets.nodes[index]->placement().lastResort.erase(port);
            }
        });
    }
}

/** Nodes apply the newest settings one after another. */
void PooledFaults::moveServices(int times) {
    _targets.moveServices();
    ++_counts.serviceMoves;
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        after(between(milliseconds(0), kSettingsSpread), [this, index] {
            if (_targets.nodes[index]) {
                _targets.nodes[index]->followSettings();
            }
        });
    }
    if (times > 1) {
        after(between(milliseconds(80), milliseconds(500)),
              [this, times] { moveServices(times - 1); });
    }
}

void PooledFaults::begin(PooledFault fault) {
    switch (fault) {
        case PooledFault::PrimaryCrashes:
            return crashFor(primary(), faultTime());
        case PooledFault::PrimaryCutFromReplicas:
            return isolatePrimary();
        case PooledFault::PrimaryCutFromSomeNodes:
            return cutNodes(false);
        case PooledFault::PrimaryCutFromAllNodes:
            return cutNodes(true);
        case PooledFault::PrimaryLeaves:
            return leave();
        case PooledFault::ReplicaDeaf:
            return deafenReplica();
        case PooledFault::ReplicaCrashes:
            return crashFor(replica(), faultTime());
        case PooledFault::ReplicaLags:
            return slowReplica();
        case PooledFault::NodeFreezes:
            return freezeNode();
        case PooledFault::NodeDies:
            return killNode();
        case PooledFault::NodeCutFromStore:
            return cutNodeFromStore();
        case PooledFault::StoreDown:
            return stopStore();
        case PooledFault::StoreReturnsOlder:
            return returnStoreOlder([] {});
        case PooledFault::AllNodesDieAtReturn:
            return returnStoreOlder([this] { killAllNodes(); });
        case PooledFault::StoreAnswersLost:
            return loseStoreAnswers();
        case PooledFault::AnswersLost:
            return loseServerAnswers();
        case PooledFault::LinkBreaks:
            return breakLinks(kLinkBreaks);
        case PooledFault::NodeSilenced:
            return silenceNode();
        case PooledFault::PrimaryMisplaced:
            return misplacePrimary();
        case PooledFault::ServicesMove:
            return moveServices(kServiceMoves);
        default:
            return beginServerFault(fault);
    }
}

}  // namespace coralhoist::pooled
