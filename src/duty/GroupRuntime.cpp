#include "duty/GroupRuntime.h"

#include <algorithm>
#include <utility>

namespace coralhoist::duty {
namespace {

backend::BackendCredentials credentialsOf(const settings::GroupSettings& settings) {
    const std::string& database =
        settings.database.empty() ? settings.name.value() : settings.database;
    return {settings.user, settings.password, database};
}

std::optional<settings::ServerEndpoint> findServer(const settings::GroupSettings& settings,
                                                   const ServerName& name) {
    const auto found = std::find_if(settings.servers.begin(), settings.servers.end(),
                                    [&name](const auto& server) { return server.name == name; });
    if (found == settings.servers.end()) {
        return std::nullopt;
    }
    return *found;
}

}  // namespace

GroupRuntime::GroupRuntime(settings::GroupSettings settings, const ZoneName& ownZone,
                           const Clock& clock, RandomSource& random)
    : _clock(clock),
      _settings(std::move(settings)),
      _connector([this](const ServerName& name) { return findServer(_settings, name); },
                 credentialsOf(_settings), ownZone, *this),
      _executor(std::make_unique<contract::GroupExecutor>(_settings, clock, random, _connector)) {
    _timer.setSingleShot(true);
    _timer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&_timer, &QTimer::timeout, [this] {
        _executor->onTick(_clock.now());
        armTimer();
    });
    armTimer();
}

void GroupRuntime::armTimer() {
    const std::optional<TimePoint> next = _executor->nextTick();
    if (!next) {
        _timer.stop();
        return;
    }
    const Duration wait = std::max(Duration(0), *next - _clock.now());
    _timer.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

void GroupRuntime::submit(contract::ExecutionRequest request, contract::ResponseSink& sink) {
    _executor->submit(std::move(request), sink);
    armTimer();
}

void GroupRuntime::resume(RequestId id) {
    _executor->resume(id);
    armTimer();
}

void GroupRuntime::cancel(RequestId id) {
    _executor->cancel(id);
    armTimer();
}

void GroupRuntime::endSession(SessionId session) {
    _executor->endSession(session);
    armTimer();
}

void GroupRuntime::onOpened(ConnectionId connection) {
    _executor->onOpened(connection);
    armTimer();
}

void GroupRuntime::onOpenFailed(ConnectionId connection, const std::string& sqlState,
                                const std::string& message) {
    _executor->onOpenFailed(connection, sqlState, message);
    armTimer();
}

void GroupRuntime::onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                                  std::string bytes) {
    _executor->onForwardBytes(connection, commandIndex, std::move(bytes));
    armTimer();
}

void GroupRuntime::onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                                  contract::CommandOutcome outcome) {
    _executor->onCommandEnded(connection, commandIndex, std::move(outcome));
    armTimer();
}

void GroupRuntime::onProgramEnded(ConnectionId connection, contract::ConnectionState state) {
    _executor->onProgramEnded(connection, state);
    armTimer();
}

void GroupRuntime::onLost(ConnectionId connection, bool sent, const std::string& message) {
    _executor->onLost(connection, sent, message);
    armTimer();
}

void GroupRuntime::applySettings(const settings::GroupSettings& settings) {
    if (settings == _settings) {
        return;
    }
    _settings = settings;
    _connector.setCredentials(credentialsOf(_settings));
    _executor->applySettings(settings);
    armTimer();
}

void GroupRuntime::setConnectionShare(contract::ConnectionShare share) {
    _executor->setConnectionShare(share);
    armTimer();
}

void GroupRuntime::drain() {
    _executor->drain();
    armTimer();
}

}  // namespace coralhoist::duty
