#include "lab/contract/ContractRun.h"

#include <algorithm>
#include <memory>

#include "base/SystemTime.h"
#include "lab/contract/Workload.h"

namespace coralhoist::simulation {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWarmUp = milliseconds(100);
constexpr Duration kFaultWindow = milliseconds(700);
constexpr Duration kHealAt = milliseconds(1500);
constexpr Duration kStopAt = milliseconds(1900);
constexpr Duration kEnd = milliseconds(9000);
/** For replication and housekeeping after the last answer. */
constexpr Duration kSettleTime = milliseconds(500);
/** More events than this in one run mean that something runs in a circle. */
constexpr std::uint64_t kEventLimit = 2000000;

/** All objects of one run. */
class ContractRun {
public:
    explicit ContractRun(const RunOptions& options)
        : _options(options),
          _random(options.seed),
          _group(options.group, _queue, _random),
          _workload(_proxies, _history, _queue, _random) {
        _settings.name = GroupName("ledger");
        _settings.statusQuery = "status";
        for (std::size_t index = 0; index < _group.size(); ++index) {
            _settings.servers.push_back({_group.server(index).name(), "", 0, ZoneName()});
            if (options.serversLie) {
                _group.server(index).lieAboutPositions();
            }
        }
        for (std::size_t index = 0; index < options.proxies; ++index) {
            _proxies.push_back(makeProxy());
        }
    }

    RunReport run() {
        const TimePoint start = _queue.now();
        _queue.runFor(kWarmUp);
        _workload.start(_options.sessions);
        for (const Fault fault : _options.plan.faults) {
            _queue.after(Duration(static_cast<Duration::rep>(_random.below(kFaultWindow.count()))),
                         [this, fault] { begin(fault); });
        }
        _queue.at(start + kHealAt, [this] { heal(); });
        _queue.at(start + kStopAt, [this] { _workload.stop(); });
        _queue.runUntil(start + kStopAt);
        while (_workload.isBusy() && _queue.now() < start + kEnd) {
            _queue.runFor(kSettleTime);
        }
        _queue.runFor(kSettleTime);
        return judge();
    }

private:
    std::unique_ptr<SimulatedProxy> makeProxy() {
        const auto divisor = static_cast<std::uint32_t>(_options.proxies);
        contract::ConnectionShare share;
        share.connectionsPerServer =
            static_cast<std::uint32_t>(_options.group.connectionsPerServer) / divisor;
        share.slotsPerServer = 3;
        return std::make_unique<SimulatedProxy>(_group, _settings, share, _queue, _random);
    }

    std::size_t anyProxy() { return _random.below(_proxies.size()); }

    void begin(Fault fault) {
        const std::size_t primary = _group.newestPrimary();
        switch (fault) {
            case Fault::PrimaryIsolated:
                _group.isolate(primary);
                break;
            case Fault::PrimaryCrashes:
                _group.server(primary).crash();
                break;
            case Fault::PrimaryPaused:
                _group.server(primary).pause();
                break;
            case Fault::ReplicaLags:
                _group.setLag(_group.anyReplica(), milliseconds(50 + _random.below(400)));
                break;
            case Fault::ReplicaFarBehind:
                isolateForAWhile(_group.anyReplica());
                break;
            case Fault::SwitchOver:
                _group.switchOver();
                break;
            default:
                beginAtProxy(fault, anyProxy());
                break;
        }
    }

    void isolateForAWhile(std::size_t server) {
        _group.isolate(server);
        _queue.after(milliseconds(300 + _random.below(500)),
                     [this, server] { _group.rejoin(server); });
    }

    void beginAtProxy(Fault fault, std::size_t proxy) {
        switch (fault) {
            case Fault::ProxyDies:
                replaceProxy(proxy);
                break;
            case Fault::ProxyPaused:
                _proxies[proxy]->pause();
                _queue.after(milliseconds(100 + _random.below(1200)),
                             [this, proxy] { _proxies[proxy]->resume(); });
                break;
            case Fault::ProxyCutFromPrimary:
                _proxies[proxy]->connector().cut(_group.newestPrimary());
                break;
            case Fault::AnswersLost:
                breakConnections(proxy, 10);
                break;
            case Fault::OwnersOverlap:
                overlap();
                break;
            case Fault::ServerLeaves:
                leaveServer(_group.newestPrimary());
                break;
            case Fault::ProxyDrains:
                _proxies[proxy]->call([this, proxy] { _proxies[proxy]->executor().drain(); });
                break;
            default:
                break;
        }
    }

    void replaceProxy(std::size_t proxy) {
        _proxies[proxy]->die();
        _workload.onProxyDied(proxy);
        _retired.push_back(std::exchange(_proxies[proxy], makeProxy()));
    }

    void breakConnections(std::size_t proxy, int rounds) {
        _proxies[proxy]->connector().breakConnections(30);
        if (rounds > 1) {
            _queue.after(milliseconds(5 + _random.below(60)),
                         [this, proxy, rounds] { breakConnections(proxy, rounds - 1); });
        }
    }

    void overlap() {
        for (const auto& proxy : _proxies) {
            contract::ConnectionShare share;
            share.connectionsPerServer =
                static_cast<std::uint32_t>(_options.group.connectionsPerServer);
            share.slotsPerServer = share.connectionsPerServer;
            proxy->call([&proxy, share] { proxy->executor().setConnectionShare(share); });
        }
    }

    void leaveServer(std::size_t server) {
        _settings.leavingServers = {_group.server(server).name()};
        for (std::size_t index = 0; index < _proxies.size(); ++index) {
            _queue.after(milliseconds(_random.below(300)), [this, index] { applySettings(index); });
        }
        _queue.after(milliseconds(300), [this] { _group.switchOver(); });
    }

    void applySettings(std::size_t index) {
        _proxies[index]->call(
            [this, index] { _proxies[index]->executor().applySettings(_settings); });
    }

    void heal() {
        _group.healAll();
        _settings.leavingServers.clear();
        for (std::size_t index = 0; index < _proxies.size(); ++index) {
            _proxies[index]->connector().heal();
            _proxies[index]->resume();
            applySettings(index);
        }
    }

    RunReport judge() {
        _workload.checkAllAnswered();
        _history.checkFinal(writesOf(_group.server(_group.newestPrimary()).log()));
        RunReport report;
        report.violations = _history.violations();
        report.acknowledgedWrites = _history.acknowledgedWrites();
        report.unknownWrites = _history.unknownWrites();
        report.reads = _history.reads();
        report.events = _queue.eventsRun();
        if (report.events > kEventLimit) {
            report.violations.push_back("the run went in a circle");
        }
        for (const auto& proxy : _proxies) {
            const contract::ExecutorStatistics statistics = proxy->executor().statistics();
            report.readsByReplica += statistics.readsServedByReplica;
            report.readsByPrimary += statistics.readsServedByPrimary;
            report.failoverGap = std::max(report.failoverGap, statistics.lastFailoverGap);
            checkNothingLeft(statistics, report);
        }
        return report;
    }

    static void checkNothingLeft(const contract::ExecutorStatistics& statistics,
                                 RunReport& report) {
        if (statistics.requestsInFlight > 0 || statistics.openTransactions > 0) {
            report.violations.push_back(
                "a proxy still holds " + std::to_string(statistics.requestsInFlight) +
                " requests and " + std::to_string(statistics.openTransactions) + " transactions");
        }
        if (statistics.connectionsBusy > 0) {
            report.violations.push_back("a proxy leaks connections");
        }
    }

    RunOptions _options;
    EventQueue _queue;
    SeededRandom _random;
    SimulatedGroup _group;
    settings::GroupSettings _settings;
    ProxyList _proxies;
    ProxyList _retired;
    History _history;
    Workload _workload;
};

}  // namespace

std::vector<FaultPlan> allFaultPlans() {
    std::vector<FaultPlan> plans;
    for (std::size_t first = 0; first < kFaultCount; ++first) {
        plans.push_back({{static_cast<Fault>(first)}});
        for (std::size_t second = first; second < kFaultCount; ++second) {
            plans.push_back({{static_cast<Fault>(first), static_cast<Fault>(second)}});
        }
    }
    return plans;
}

RunReport runContract(const RunOptions& options) {
    return ContractRun(options).run();
}

}  // namespace coralhoist::simulation
