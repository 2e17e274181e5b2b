#include "lab/pooled/PooledRun.h"

#include <memory>
#include <utility>

#include "lab/pooled/PooledNode.h"

namespace coralhoist::pooled {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(2);
constexpr Duration kWarmUp = seconds(2);
/** Faults begin within this time after the warm-up. */
constexpr std::uint64_t kFaultWindowMs = 2500;
/** Everything has healed by then, so that the run must recover. */
constexpr Duration kHealedAt = seconds(10);
constexpr Duration kEnd = seconds(16);
constexpr std::size_t kSessionsPerService = 3;
constexpr int kLinkBreaks = 12;

/** Builds the parts and plays the faults. */
class Run {
public:
    explicit Run(const PooledRunOptions& options)
        : _options(options),
          _random(options.seed),
          _group(GroupName("g"), options.group, _queue, _judge),
          _store(_queue, _random, _judge),
          _network(_queue, _random),
          _world{_queue,   _random,           _judge,    _book,   _store,
                 _network, options.executors, {&_group}, nullptr, options.readOnly} {
        _store.addGroup(_group);
        _world.catalog = makeWorkloadCatalog(_world.groups);
        for (std::size_t index = 0; index < options.nodes; ++index) {
            startNode(index);
        }
    }

    PooledReport play() {
        for (const PooledFault fault : _options.faults) {
            const Duration at = kWarmUp + milliseconds(_random.below(kFaultWindowMs));
            _queue.after(at, [this, fault] { begin(fault); });
        }
        step();
        _queue.runFor(kHealedAt);
        const std::size_t before = _judge.acknowledged();
        _queue.runFor(kEnd - kHealedAt);
        _judge.onEnd(_group.finalCommits());
        PooledReport report;
        report.violations = _judge.violations();
        report.acknowledged = _judge.acknowledged();
        report.acknowledgedAfterFaults = report.acknowledged - before;
        report.reads = _judge.reads();
        report.promotions = _group.promotions();
        for (const auto& node : _nodes) {
            report.provenByServers += node ? node->provenByServers() : 0;
            report.forwarded += node ? node->forwarded() : 0;
        }
        return report;
    }

private:
    void startNode(std::size_t index) {
        if (_nodes.size() <= index) {
            _nodes.resize(index + 1);
        }
        _nodes[index] = std::make_unique<PooledNode>(_world, "n" + std::to_string(index + 1),
                                                     kSessionsPerService);
    }

    void step() {
        _group.step();
        for (const auto& node : _nodes) {
            if (node) {
                node->step();
            }
        }
        _queue.after(kStep, [this] { step(); });
    }

    LogServer& primary() {
        LogServer* best = _group.servers().front().get();
        for (const auto& server : _group.servers()) {
            if (server->primary && server->term >= best->term) {
                best = server.get();
            }
        }
        return *best;
    }

    LogServer& replica() {
        std::vector<LogServer*> replicas;
        for (const auto& server : _group.servers()) {
            if (!server->primary) {
                replicas.push_back(server.get());
            }
        }
        return replicas.empty() ? primary() : *replicas[_random.below(replicas.size())];
    }

    Duration faultTime() { return milliseconds(500 + _random.below(3500)); }

    void heal(std::function<void()> action) { _queue.after(faultTime(), std::move(action)); }

    void crashFor(LogServer& server, Duration time) {
        if (!server.running) {
            return;
        }
        _group.crash(server);
        _queue.after(time, [this, &server] { _group.restart(server); });
    }

    void cutNodes(bool all) {
        const ServerName name = primary().name;
        for (std::size_t index = 0; index < _nodes.size(); ++index) {
            if (!_nodes[index] || (!all && index == 0)) {
                continue;
            }
            _nodes[index]->connector().faults().cut.insert(name);
            heal([this, index, name] {
                if (_nodes[index]) {
                    _nodes[index]->connector().faults().cut.erase(name);
                }
            });
        }
    }

    void leave() {
        LogServer& server = primary();
        server.draining = true;
        _queue.after(seconds(3), [this, &server] {
            crashFor(server, milliseconds(500));
            server.draining = false;
        });
    }

    void freezeNode() {
        const std::size_t index = _random.below(_nodes.size());
        if (!_nodes[index]) {
            return;
        }
        _nodes[index]->freeze();
        heal([this, index] {
            if (_nodes[index]) {
                _nodes[index]->thaw();
            }
        });
    }

    /** A dead node's parts stay until the end of the run: events on their way name them. */
    void killNode() {
        const std::size_t index = _random.below(_nodes.size());
        if (!_nodes[index]) {
            return;
        }
        _nodes[index]->end();
        _dead.push_back(std::move(_nodes[index]));
        heal([this, index] { startNode(index); });
    }

    void isolatePrimary() {
        const ServerName name = primary().name;
        _group.setIsolated(name, true);
        heal([this, name] { _group.setIsolated(name, false); });
    }

    void deafenReplica() {
        LogServer& server = replica();
        server.deaf = true;
        heal([&server] { server.deaf = false; });
    }

    void slowReplica() {
        LogServer& server = replica();
        server.applyLag = milliseconds(300 + _random.below(900));
        heal([&server] { server.applyLag = Duration(0); });
    }

    void cutNodeFromStore() {
        const std::size_t index = _random.below(_nodes.size());
        if (!_nodes[index]) {
            return;
        }
        _nodes[index]->setStoreCut(true);
        heal([this, index] {
            if (_nodes[index]) {
                _nodes[index]->setStoreCut(false);
            }
        });
    }

    void stopStore() {
        _store.faults().down = true;
        heal([this] { _store.faults().down = false; });
    }

    void loseStoreAnswers() {
        _store.faults().answersLost = 0.4;
        _store.faults().late = milliseconds(_random.below(2) * _random.below(3000));
        heal([this] { _store.faults().answersLost = 0; });
    }

    void setAnswersLost(double share) {
        for (const auto& node : _nodes) {
            if (node) {
                node->connector().faults().answersLost = share;
            }
        }
    }

    void loseServerAnswers() {
        setAnswersLost(0.05);
        heal([this] { setAnswersLost(0); });
    }

    void breakLinks(int times) {
        _network.breakRandomLink();
        if (times > 1) {
            _queue.after(milliseconds(20 + _random.below(200)),
                         [this, times] { breakLinks(times - 1); });
        }
    }

    void silenceNode() {
        const NodeName node = _network.randomNode();
        _network.setSilenced(node, true);
        heal([this, node] { _network.setSilenced(node, false); });
    }

    void begin(PooledFault fault) {
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
            case PooledFault::StoreAnswersLost:
                return loseStoreAnswers();
            case PooledFault::AnswersLost:
                return loseServerAnswers();
            case PooledFault::LinkBreaks:
                return breakLinks(kLinkBreaks);
            case PooledFault::NodeSilenced:
                return silenceNode();
        }
    }

    PooledRunOptions _options;
    simulation::EventQueue _queue;
    SeededRandom _random;
    PooledJudge _judge;
    RequestBook _book;
    LogGroup _group;
    RecordStore _store;
    UnitNetwork _network;
    PooledWorld _world;
    std::vector<std::unique_ptr<PooledNode>> _nodes;
    std::vector<std::unique_ptr<PooledNode>> _dead;
};

}  // namespace

std::vector<std::vector<PooledFault>> allPooledFaultPlans() {
    std::vector<std::vector<PooledFault>> plans;
    for (std::size_t first = 0; first < kPooledFaultCount; ++first) {
        plans.push_back({static_cast<PooledFault>(first)});
        for (std::size_t second = first; second < kPooledFaultCount; ++second) {
            plans.push_back({static_cast<PooledFault>(first), static_cast<PooledFault>(second)});
        }
    }
    return plans;
}

PooledReport runPooled(const PooledRunOptions& options) {
    auto run = std::make_unique<Run>(options);
    return run->play();
}

}  // namespace coralhoist::pooled
