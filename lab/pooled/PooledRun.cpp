#include "lab/pooled/PooledRun.h"

#include <memory>
#include <set>
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

/** Builds the parts and plays the faults. */
class Run {
public:
    explicit Run(const PooledRunOptions& options)
        : _options(options),
          _random(options.seed),
          _group(GroupName("g"), options.group, _queue, _judge),
          _secondGroup(GroupName("h"), options.group, _queue, _judge),
          _store(_queue, _random, _judge),
          _network(_queue, _random),
          _world{_queue,
                 _random,
                 _judge,
                 _book,
                 _store,
                 _network,
                 options.executors,
                 {&_group},
                 nullptr,
                 options.readOnly,
                 options.trustsPrimaries},
          _faults({_queue, _random, _group, _store, _network, _nodes,
                   [this](std::size_t index) { killNode(index); },
                   [this](std::size_t index) { startNode(index); },
                   [this] { _world.catalog = moveServices(*_world.catalog, _world.groups); }}) {
        if (options.twoGroups) {
            _world.groups.push_back(&_secondGroup);
        }
        for (LogGroup* group : _world.groups) {
            _store.addGroup(*group);
        }
        if (options.showsEras) {
            _store.showEras();
        }
        _world.catalog = makeWorkloadCatalog(_world.groups);
        for (std::size_t index = 0; index < options.nodes; ++index) {
            startNode(index);
        }
    }

    PooledReport play() {
        for (const PooledFault fault : _options.faults) {
            const Duration at = kWarmUp + milliseconds(_random.below(kFaultWindowMs));
            _queue.after(at, [this, fault] { _faults.begin(fault); });
        }
        step();
        _queue.runFor(kHealedAt);
        const std::size_t before = _judge.acknowledged();
        _queue.runFor(kEnd - kHealedAt);
        _judge.onEnd(finalCommits());
        PooledReport report;
        report.violations = _judge.violations();
        report.acknowledged = _judge.acknowledged();
        report.acknowledgedAfterFaults = report.acknowledged - before;
        report.reads = _judge.reads();
        report.longestWriteGap = _judge.longestWriteGap(TimePoint{} + kWarmUp);
        report.promotions = _group.promotions();
        for (const auto& node : _nodes) {
            if (node) {
                addNode(*node, report);
            }
        }
        report.unansweredCalls = _store.unansweredCalls();
        report.callsToRestarting = _store.callsToRestarting();
        report.faults = _faults.counts();
        return report;
    }

private:
    std::set<CommitId> finalCommits() const {
        std::set<CommitId> commits;
        for (const LogGroup* group : _world.groups) {
            commits.merge(group->finalCommits());
        }
        return commits;
    }

    void startNode(std::size_t index) {
        if (_nodes.size() <= index) {
            _nodes.resize(index + 1);
        }
        _nodes[index] = std::make_unique<PooledNode>(_world, "n" + std::to_string(index + 1),
                                                     kSessionsPerService);
    }

    void step() {
        for (LogGroup* group : _world.groups) {
            group->step();
        }
        for (const auto& node : _nodes) {
            if (node) {
                node->step();
            }
        }
        _queue.after(kStep, [this] { step(); });
    }

    /** A dead node's parts stay until the end of the run: events on their way name them. */
    void killNode(std::size_t index) {
        _nodes[index]->end();
        _dead.push_back(std::move(_nodes[index]));
    }

    /** Adds up what a node has seen to the report. */
    static void addNode(const PooledNode& node, PooledReport& report) {
        report.plannedMoves += node.plannedMoves();
        report.provenByServers += node.provenByServers();
        report.forwarded += node.forwarded();
        report.slowOrders += node.connector().slowOrders();
        report.refusedOrders += node.connector().refusedOrders();
        report.wrongServers += node.connector().wrongServers();
    }

    PooledRunOptions _options;
    simulation::EventQueue _queue;
    SeededRandom _random;
    PooledJudge _judge;
    RequestBook _book;
    LogGroup _group;
    LogGroup _secondGroup;
    RecordStore _store;
    UnitNetwork _network;
    PooledWorld _world;
    std::vector<std::unique_ptr<PooledNode>> _nodes;
    std::vector<std::unique_ptr<PooledNode>> _dead;
    PooledFaults _faults;
};

}  // namespace

PooledReport runPooled(const PooledRunOptions& options) {
    auto run = std::make_unique<Run>(options);
    return run->play();
}

}  // namespace coralhoist::pooled
