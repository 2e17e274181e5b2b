// Statistics and status reports of the group executor.
#include "contract/ExecutorCore.h"

namespace coralhoist::contract {

ExecutorStatistics ExecutorCore::statistics() const {
    ExecutorStatistics statistics = _statistics;
    statistics.statusSamples = _monitor.queriesSent();
    statistics.connectionsOpened = _pool.openedTotal();
    statistics.connectsRefused = _pool.refusedTotal();
    statistics.requestsInFlight = _requests.size();
    statistics.openTransactions = _transactions.openCount();
    for (const auto& [name, queue] : _queues) {
        statistics.urgentQueued += queue.queued(AdmissionClass::Urgent);
        statistics.ordinaryQueued += queue.queued(AdmissionClass::Ordinary);
        statistics.connectionsOpen += _pool.openCount(name);
        statistics.connectionsBusy += _pool.busyCount(name);
    }
    return statistics;
}

GroupReport ExecutorCore::status() const {
    const TimePoint now = _clock.now();
    GroupReport report;
    report.group = _settings.name;
    report.draining = _draining;
    const auto primary = _topology.primary(now);
    if (primary) {
        report.primary = primary->server;
        report.term = primary->term;
    }
    for (const auto& [name, view] : _topology.servers()) {
        ServerReport server;
        server.server = name;
        server.primary = primary && primary->server == name;
        server.healthy = view.isHealthy();
        server.leaving = view.leaving;
        if (view.status) {
            server.term = view.status->term;
            server.receivedPosition = view.status->receivedPosition;
            server.replayedPosition = view.status->replayedPosition;
            if (const auto moment = _floors.caughtUpAt(view.status->replayed())) {
                server.lag = now - *moment;
            }
        }
        server.connectionsOpen = static_cast<std::uint32_t>(_pool.openCount(name));
        server.connectionsBusy = static_cast<std::uint32_t>(_pool.busyCount(name));
        if (const auto queue = _queues.find(name); queue != _queues.end()) {
            server.queued = static_cast<std::uint32_t>(queue->second.queued());
        }
        server.lastFailure = machine::describe(view.failure);
        report.servers.push_back(server);
    }
    return report;
}

}  // namespace coralhoist::contract
