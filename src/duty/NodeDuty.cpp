#include "duty/NodeDuty.h"

#include <utility>

#include "base/Error.h"
#include "base/Log.h"
#include "duty/ExecutorMetrics.h"
#include "link/peer/ControlCodec.h"

namespace coralhoist::duty {
namespace {

constexpr std::chrono::milliseconds kHousekeepingInterval{1000};
constexpr std::chrono::milliseconds kDrainCheckInterval{20};
/** Kernel-chosen TCP ports tried until the UDP port of the same number is free too. */
constexpr int kPortAttempts = 16;
/** Numbers of forwarded sessions, clear of those of the callers' channels. */
constexpr std::uint64_t kFirstForwardedNumber = std::uint64_t{0xFF} << 56U;
constexpr std::uint8_t kCallerChannelNumber = 1;

}  // namespace

NodeDuty::NodeDuty(NodeDutyOptions options, NodeDutyLinks links)
    : _options(std::move(options)),
      _links(std::move(links)),
      _random(_options.seed),
      _ticks(_clock),
      _peers(_clock),
      _transport(_options.self.name, _options.self.zone, _clock, _random, _peers),
      _datagrams([this](const std::string& host, std::uint16_t port, const std::string& bytes) {
          onControlBytes(host + ":" + std::to_string(port), bytes);
      }),
      _runtimes(_options.self.zone, _clock, _random),
      _platform(QUrl(QString::fromStdString(_options.platformUrl)),
                platform::PlatformClientOptions{}, _random),
      _store([this](const auto& snapshot) { publishSettings(snapshot); }),
      _callerUpdates(_links.callerChannel.updates),
      _callerReports(_links.callerChannel.reports,
                     [this](CallerReport&& report) { onCallerReport(report); }) {}

Status NodeDuty::start() {
    Status status = bindPeerPorts();
    if (!status.isOk()) {
        return status;
    }
    buildNode();
    const QHostAddress address(QString::fromStdString(_options.address));
    status = _operatorServer->listen(address, _options.operatorPort);
    if (!status.isOk()) {
        return status;
    }
    _links.ports.peer = _transport.port();
    _links.ports.operators = _operatorServer->port();
    addTickSources();
    _membership->start(_options.seeds, _clock.now());
    _settings->start(_ticks);
    QObject::connect(&_secondTimer, &QTimer::timeout, [this] { everySecond(); });
    _secondTimer.start(kHousekeepingInterval);
    return Status::ok();
}

Status NodeDuty::bindPeerPorts() {
    Status status;
    const int attempts = _options.peerPort == 0 ? kPortAttempts : 1;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        status = _transport.listen(_options.address, _options.peerPort);
        if (!status.isOk()) {
            return status;
        }
        status = _datagrams.bind(_options.address, _transport.port());
        if (status.isOk()) {
            _options.self.address.port = _transport.port();
            return status;
        }
    }
    return status;
}

void NodeDuty::buildNode() {
    const NodeName& self = _options.self.name;
    _membership.emplace(_options.self, zone::MembershipOptions{}, _random, *this);
    _directory.emplace(self, *_membership, _transport, _peers, _runtimes, _random);
    _router.emplace(self, *_directory, *_directory, _clock, _random);
    _peers.start(_transport, *_directory, _runtimes, kFirstForwardedNumber, *this);
    _peers.setRelay(*_router);
    _executorServer.emplace(_links.executorChannel, kCallerChannelNumber, *_router);
    _settings.emplace(_store, _platform, *_membership, _random, _clock, *this);
    _gateway.emplace(OperatorGateway::Dependencies{self, _options.version, _store, _platform,
                                                   *_membership, *_directory, _runtimes, *this,
                                                   _clock});
    _operatorServer.emplace(*_gateway);
}

void NodeDuty::addTickSources() {
    _ticks.add([this] { return std::optional(_membership->nextTick()); },
               [this](TimePoint now) { _membership->onTick(now); });
    _ticks.add([this] { return _router->nextTick(); },
               [this](TimePoint now) { _router->onTick(now); });
    _ticks.add([this] { return _peers.nextTick(); }, [this](TimePoint now) { _peers.onTick(now); });
}

void NodeDuty::send(const zone::PeerAddress& to, const zone::MembershipMessage& message) {
    // A datagram that can't be sent is like one that got lost: the failure detector bears it.
    [[maybe_unused]] const Status sent =
        _datagrams.send(to.host, to.port, peer::encodeControl(message));
}

void NodeDuty::onControlBytes(const std::string& from, const std::string& bytes) {
    const auto message = peer::decodeControl(bytes);
    if (!message.isOk()) {
        LogEvent("peer", LogLevel::Debug, "peer.malformed_control_message")
            .field("from", from)
            .field("reason", message.status().message());
        return;
    }
    if (const auto* membership = std::get_if<zone::MembershipMessage>(&message.value())) {
        _membership->onDatagram(membership->sender.address, *membership, _clock.now());
        return;
    }
    _settings->onMessage(std::get<zone::DistributionMessage>(message.value()), bytes.size());
}

void NodeDuty::onMemberChanged(const zone::Member& member, zone::TableChange change) {
    LogEvent("membership", LogLevel::Info, "membership.changed")
        .field("member", member.name)
        .field("change", static_cast<int>(change))
        .field("incarnation", member.incarnation);
    // The table is still being changed: placement looks at it when the loop is back.
    QTimer::singleShot(0, &_secondTimer, [this] {
        _directory->onMembershipChanged();
        _router->onOwnersChanged();
    });
}

void NodeDuty::publishSettings(const std::shared_ptr<const settings::SettingsSnapshot>& snapshot) {
    _directory->setSettings(snapshot);
    _router->onOwnersChanged();
    _snapshot = snapshot;
    publishToCallers();
}

void NodeDuty::publishToCallers() {
    // Callers must not be served by a part of the tree: a service could get its group's values.
    if (_settings->isReady() && _snapshot != _publishedToCallers) {
        _publishedToCallers = _snapshot;
        _callerUpdates.send(SettingsUpdate{_snapshot});
    }
}

void NodeDuty::send(const zone::PeerReference& to, const zone::DistributionMessage& message) {
    std::string bytes = peer::encodeControl(message);
    // What is lost on either way is repaired by the distribution's comparisons.
    if (bytes.size() <= peer::kMaximumDatagramBytes) {
        [[maybe_unused]] const Status sent =
            _datagrams.send(to.address.host, to.address.port, bytes);
        return;
    }
    _transport.setAddress(to.name, {to.address.host, to.address.port});
    [[maybe_unused]] const Status sent = _peers.sendSettingsFrame(to.name, std::move(bytes));
}

void NodeDuty::onSettingsFrame(const NodeName& peer, std::string payload) {
    onControlBytes(peer.value(), payload);
}
void NodeDuty::onSettingsLinkUp(const NodeName& /*peer*/) {}
void NodeDuty::onSettingsLinkDown(const NodeName& /*peer*/) {}

std::string NodeDuty::readinessReason() const {
    return _settings->isReady() ? "" : "the settings are not known to be fresh yet";
}

gen::SessionSummary NodeDuty::sessions() const {
    gen::SessionSummary summary;
    summary.open = static_cast<std::int64_t>(_lastCallerReport.connections);
    return summary;
}

void NodeDuty::collectInForce(const gen::SettingsInForceRequest& request,
                              operators::Completion<gen::SettingsInForceResponse> completion) {
    _settings->collectInForce(request, std::move(completion));
}

void NodeDuty::onCallerReport(const CallerReport& report) {
    _lastCallerReport = report;
}

void NodeDuty::everySecond() {
    _runtimes.onTick(_clock.now());
    _settings->adjustWatch();
    publishToCallers();
    std::vector<MetricSample> samples;
    _runtimes.forEach([&samples](const GroupName& group, const auto& runtime) {
        const auto groupSamples = executorMetrics(group, runtime.statistics());
        samples.insert(samples.end(), groupSamples.begin(), groupSamples.end());
    });
    for (const caller::NamedCounter& counter : _lastCallerReport.statistics.named()) {
        samples.push_back({std::string(counter.name),
                           "Events of the callers' side.",
                           MetricKind::Counter,
                           {},
                           static_cast<double>(counter.value)});
    }
    samples.push_back({"coralhoist_caller_connections",
                       "Open caller connections.",
                       MetricKind::Gauge,
                       {},
                       static_cast<double>(_lastCallerReport.connections)});
    samples.push_back({"coralhoist_members",
                       "Live members of the region.",
                       MetricKind::Gauge,
                       {},
                       static_cast<double>(_membership->members().live().size())});
    _links.metrics.publish("node", std::move(samples));
}

void NodeDuty::beginDrain() {
    if (_drainDeadline) {
        return;
    }
    LogEvent("node", LogLevel::Info, "node.drain_begun").field("node", _options.self.name);
    const TimePoint now = _clock.now();
    _drainDeadline = now + _options.drainTimeout;
    _membership->leave(now);
    _operatorServer->stopListening();
    _callerUpdates.send(DrainUpdate{});
    QObject::connect(&_drainTimer, &QTimer::timeout, [this] { checkDrained(); });
    _drainTimer.start(kDrainCheckInterval);
}

void NodeDuty::checkDrained() {
    const bool expired = _clock.now() >= *_drainDeadline;
    const bool callersGone = _lastCallerReport.drained;
    if (callersGone) {
        // Only now: until the last caller has left, its transactions may still begin statements.
        _runtimes.drain();
    }
    if (!(callersGone && _runtimes.isDrained()) && !expired) {
        return;
    }
    _drainTimer.stop();
    _membership->announceStop();
    LogEvent("node", LogLevel::Info, "node.drained").field("in_time", !expired);
    _links.stopped();
}

}  // namespace coralhoist::duty
