#include "duty/CallerDuty.h"

#include <utility>

namespace coralhoist::duty {
namespace {

constexpr std::chrono::milliseconds kReportInterval{1000};
/** While draining, the node duty waits for the last caller to leave. */
constexpr std::chrono::milliseconds kDrainReportInterval{20};

}  // namespace

CallerDuty::CallerDuty(CallerDutyOptions options, ExecutorChannel& executorChannel,
                       CallerChannel& callerChannel, std::atomic<std::uint16_t>& boundPort)
    : _options(std::move(options)),
      _boundPort(boundPort),
      _random(_options.seed),
      _executor(executorChannel),
      _oracle(_executor, _clock),
      _server(_executor, _oracle, _clock, _random, _options.server),
      _reports(callerChannel.reports),
      _updates(callerChannel.updates,
               [this](CallerUpdate&& update) { onUpdate(std::move(update)); }) {}

Status CallerDuty::start() {
    const QHostAddress address(QString::fromStdString(_options.address));
    Status status = _server.listen(address, _options.port);
    if (!status.isOk()) {
        return status;
    }
    _boundPort = _server.port();
    QObject::connect(&_reportTimer, &QTimer::timeout, [this] { report(); });
    _reportTimer.start(kReportInterval);
    return Status::ok();
}

void CallerDuty::onUpdate(CallerUpdate&& update) {
    if (auto* settings = std::get_if<SettingsUpdate>(&update)) {
        _server.setSettings(std::move(settings->settings));
        return;
    }
    _draining = true;
    _server.drain();
    _reportTimer.start(kDrainReportInterval);
}

void CallerDuty::report() {
    CallerReport report;
    report.statistics = _server.statistics();
    report.connections = _server.connectionCount();
    report.drained = _draining && _server.isDrained();
    // A report that finds no room is superseded by the next one.
    [[maybe_unused]] const bool sent = _reports.trySend(report);
}

}  // namespace coralhoist::duty
