#include "program/Daemon.h"

#include <prometheus/exposer.h>

#include <QMetaObject>
#include <chrono>
#include <exception>
#include <random>
#include <utility>

#include "base/Error.h"
#include "base/Log.h"
#include "duty/CallerDuty.h"
#include "program/ListeningReport.h"

namespace coralhoist::program {
namespace {

constexpr std::size_t kMetricsThreads = 1;

std::uint64_t entropy() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

/** A number above that of any former life of this node. */
std::uint64_t startIncarnation() {
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}  // namespace

Daemon::Daemon(DaemonConfiguration configuration, std::function<void()> drained)
    : _configuration(std::move(configuration)),
      _metrics(std::make_shared<duty::MetricsBoard>()),
      _drained(std::move(drained)) {}

Daemon::~Daemon() {
    stop();
}

duty::NodeDutyOptions Daemon::nodeOptions() const {
    duty::NodeDutyOptions options;
    options.self.name = _configuration.name;
    options.self.region = _configuration.region;
    options.self.zone = _configuration.zone;
    options.self.address.host = _configuration.address;
    options.self.incarnation = startIncarnation();
    options.address = _configuration.address;
    options.peerPort = _configuration.peerPort;
    options.operatorPort = _configuration.operatorPort;
    options.platformUrl = _configuration.platformUrl;
    for (const SeedAddress& seed : _configuration.seeds) {
        options.seeds.push_back({seed.host, seed.port});
    }
    options.drainTimeout = _configuration.drainTimeout;
    options.version = CORALHOIST_VERSION;
    options.seed = entropy();
    return options;
}

duty::CallerDutyOptions Daemon::callerOptions() const {
    duty::CallerDutyOptions options;
    options.address = _configuration.address;
    options.port = _configuration.callerPort;
    options.server.connectionLimit = _configuration.maximumConnections;
    options.server.connection.startupTimeout = _configuration.startupTimeout;
    options.server.session.messageBytes = _configuration.maximumMessageBytes;
    options.seed = entropy();
    return options;
}

Status Daemon::startMetrics() {
    const std::string address =
        _configuration.address + ":" + std::to_string(_configuration.metricsPort);
    try {
        _exposer = std::make_unique<prometheus::Exposer>(address, kMetricsThreads);
    } catch (const std::exception& error) {
        return {ErrorCode::Unavailable, "metrics port " + address + ": " + error.what()};
    }
    _exposer->RegisterCollectable(_metrics);
    return Status::ok();
}

Status Daemon::start() {
    const auto stopped = [this] {
        QMetaObject::invokeMethod(
            this, [this] { _drained(); }, Qt::QueuedConnection);
    };
    const auto requestStop = [this] {
        QMetaObject::invokeMethod(
            this, [this] { drain(); }, Qt::QueuedConnection);
    };
    _nodeThread = std::make_unique<duty::DutyThread>("node", [this, stopped, requestStop] {
        auto node = std::make_unique<duty::NodeDuty>(
            nodeOptions(), duty::NodeDutyLinks{_executorChannel, _callerChannel, *_metrics,
                                               _nodePorts, requestStop, stopped});
        _node = node.get();
        return node;
    });
    _callerThread = std::make_unique<duty::DutyThread>("caller", [this] {
        return std::make_unique<duty::CallerDuty>(callerOptions(), _executorChannel, _callerChannel,
                                                  _callerPort);
    });
    Status status = startMetrics();
    if (status.isOk()) {
        status = _nodeThread->start();
    }
    if (status.isOk()) {
        status = _callerThread->start();
    }
    return status;
}

void Daemon::drain() {
    if (_draining) {
        return;
    }
    _draining = true;
    duty::NodeDuty* node = _node;
    QMetaObject::invokeMethod(
        node->context(), [node] { node->beginDrain(); }, Qt::QueuedConnection);
}

void Daemon::stop() {
    if (_callerThread) {
        _callerThread->stop();
    }
    if (_nodeThread) {
        _nodeThread->stop();
    }
    _exposer.reset();
}

std::string Daemon::listeningReport() const {
    ListeningPorts ports;
    ports.caller = _callerPort;
    ports.peer = _nodePorts.peer;
    ports.operators = _nodePorts.operators;
    const std::vector<int> metricsPorts = _exposer->GetListeningPorts();
    ports.metrics = metricsPorts.empty() ? 0 : static_cast<std::uint16_t>(metricsPorts.front());
    return program::listeningReport(_configuration.name.value(), _configuration.address, ports);
}

}  // namespace coralhoist::program
