#include "lab/experiment/ExperimentRun.h"

#include <algorithm>
#include <memory>

#include "lab/experiment/BaselineSystem.h"
#include "lab/experiment/CoralhoistSystem.h"
#include "lab/experiment/Deployment.h"
#include "lab/experiment/LoadGenerator.h"
#include "lab/experiment/Measurement.h"

namespace coralhoist::experiment {
namespace {

/** For first connections, before the load starts. */
constexpr Duration kBootTime = std::chrono::seconds(1);
constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
/** For replication after the last answer. */
constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr std::uint64_t kWorldSeedOffset = 104729;

std::unique_ptr<ProxySystem> makeSystem(SystemKind kind, Deployment& deployment) {
    BaselinePolicy policy;
    policy.splitsReads = kind == SystemKind::Split;
    policy.waitsForPrimary = kind == SystemKind::Pool;
    if (kind == SystemKind::Coralhoist) {
        return std::make_unique<CoralhoistSystem>(deployment);
    }
    return std::make_unique<BaselineSystem>(deployment, policy);
}

/** One system under the load and the faults of a scenario. */
class ExperimentRun {
public:
    ExperimentRun(const Scenario& scenario, SystemKind kind, std::uint64_t seed)
        : _seed(seed),
          _deployment(scenario, seed + kWorldSeedOffset),
          _system(makeSystem(kind, _deployment)) {
        _deployment.queue().runFor(kBootTime);
        _measurement = std::make_unique<Measurement>(_deployment);
        _load = std::make_unique<LoadGenerator>(_deployment, *_system, *_measurement, seed);
    }

    RunResult run() {
        const Scenario& scenario = _deployment.scenario();
        const TimePoint start = _deployment.queue().now();
        for (const FaultEvent& fault : scenario.faults) {
            _deployment.queue().at(start + fault.at, [this, &fault] { begin(fault); });
        }
        _load->start();
        sample(start + scenario.duration);
        _deployment.queue().runUntil(start + scenario.duration);
        // Callers still wait for answers; faults that outlast the load go on meanwhile.
        _deployment.queue().runFor(2 * scenario.failures.callerPatience);
        _deployment.healAll();
        _deployment.queue().runFor(kSettleTime);
        return _measurement->finish(_seed, _load->unfinished());
    }

private:
    void begin(const FaultEvent& fault) {
        if (fault.kind != FaultKind::OwnerKilled) {
            _deployment.begin(fault);
            return;
        }
        const std::size_t proxy = fault.group % _deployment.scenario().proxyCount();
        if (_system->isAlive(proxy)) {
            _system->kill(proxy);
            _load->onProxyDied(proxy);
        }
    }

    void sample(TimePoint end) {
        _measurement->sample(_system->queueLengths());
        if (_deployment.queue().now() + kSampleInterval < end) {
            _deployment.queue().after(kSampleInterval, [this, end] { sample(end); });
        }
    }

    std::uint64_t _seed;
    Deployment _deployment;
    std::unique_ptr<ProxySystem> _system;
    std::unique_ptr<Measurement> _measurement;
    std::unique_ptr<LoadGenerator> _load;
};

}  // namespace

const char* systemName(SystemKind kind) {
    switch (kind) {
        case SystemKind::Coralhoist:
            return "coralhoist";
        case SystemKind::Primary:
            return "primary";
        case SystemKind::Split:
            return "split";
        case SystemKind::Pool:
            return "pool";
    }
    return "";
}

const char* systemDescription(SystemKind kind) {
    switch (kind) {
        case SystemKind::Coralhoist:
            return "the router and the group executors of coralhoistd";
        case SystemKind::Primary:
            return "all requests to the primary; they fail at once while none is known";
        case SystemKind::Split:
            return "reads to the replicas in turn, without sessions; else like primary";
        case SystemKind::Pool:
            return "all requests to the primary through one queue without priorities, which waits "
                   "while no primary is known";
    }
    return "";
}

RunResult runSystem(const Scenario& scenario, SystemKind kind, std::uint64_t seed) {
    return ExperimentRun(scenario, kind, seed).run();
}

ExperimentResult runExperiment(const Scenario& scenario, const std::vector<SystemKind>& systems,
                               std::uint64_t seed, std::size_t repeats) {
    ExperimentResult result;
    result.scenario = scenario.name;
    result.seed = seed;
    result.repeats = repeats;
    result.durationSeconds = std::chrono::duration<double>(scenario.duration).count();
    result.warmUpSeconds = std::chrono::duration<double>(scenario.warmUp).count();
    result.primaryLoadIfAlone = scenario.primaryLoadIfAlone();
    for (const LoadClass& load : scenario.load) {
        result.classNames.push_back(load.name);
    }
    for (const FaultEvent& fault : scenario.faults) {
        const double at = std::chrono::duration<double>(fault.at).count();
        const double duration = std::chrono::duration<double>(fault.duration).count();
        result.faults.push_back({faultName(fault.kind), fault.group, at, duration});
    }
    for (const SystemKind kind : systems) {
        SystemResult system;
        system.system = systemName(kind);
        system.description = systemDescription(kind);
        for (std::size_t repeat = 0; repeat < repeats; ++repeat) {
            system.runs.push_back(runSystem(scenario, kind, seed + repeat));
        }
        result.systems.push_back(std::move(system));
    }
    return result;
}

}  // namespace coralhoist::experiment
