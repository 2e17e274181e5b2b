#include "failover/MemberLink.h"

#include <algorithm>
#include <utility>

namespace coralhoist::failover {
namespace {

using pooling::ServerCommand;

/**
 * Timeouts of opening a connection and of a command. Servers whose slots are full responded after
 * up to 1,141 ms; with a shorter timeout their responses are never received, and a promotion waits
 * forever.
 */
constexpr Duration kOpenTimeout = std::chrono::milliseconds(1000);
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1500);
/**
 * The timeout doubles with each missing response up to this limit, because a slow server is not a
 * failed one.
 */
constexpr Duration kMaxResponseTimeout = std::chrono::milliseconds(6000);
constexpr Duration kReconnectPause = std::chrono::milliseconds(100);

}  // namespace

MemberLink::MemberLink(pooling::ServerAddress address, const Clock& clock,
                       pooling::ServerConnector& connector, const ReportParser& parser)
    : _address(std::move(address)),
      _clock(clock),
      _connector(connector),
      _parser(parser),
      _createdAt(clock.now()),
      _responseTimeout(kResponseTimeout) {}

MemberLink::~MemberLink() {
    if (_connection) {
        _connector.close(*_connection);
    }
}

void MemberLink::queryStatus() {
    request({ServerCommand::Kind::Status, 0, _clock.now()});
}

void MemberLink::order(ServerCommand::Kind kind, Term term, TimePoint sendBy) {
    request({kind, term, _clock.now(), sendBy});
}

void MemberLink::request(const PendingCommand& command) {
    const auto same = [&command](const PendingCommand& other) {
        return other.kind == command.kind;
    };
    if (std::any_of(_sent.begin(), _sent.end(), same)) {
        return;
    }
    const auto waiting = std::find_if(_unsent.begin(), _unsent.end(), same);
    if (waiting != _unsent.end()) {
        waiting->term = command.term;
        waiting->sendBy = command.sendBy;
        return;
    }
    if (_opened) {
        transmit(command);
        return;
    }
    _unsent.push_back(command);
    if (!_connection) {
        open(_clock.now());
    }
}

/**
 * The time is looked at here: the connection may have opened, or the process gone on, long after
 * the command was requested.
 */
void MemberLink::transmit(const PendingCommand& pending) {
    const TimePoint now = _clock.now();
    if (now >= pending.sendBy) {
        return;
    }
    ServerCommand command;
    command.kind = pending.kind;
    command.term = pending.term;
    _sent.push_back({pending.kind, pending.term, now, pending.sendBy});
    _connector.send(*_connection, {command});
}

void MemberLink::open(TimePoint now) {
    if (now < _nextAttempt) {
        return;
    }
    _attemptedAt = now;
    _opened = false;
    _connection = _connector.open(_address, TenantName(), *this);
}

void MemberLink::drop() {
    if (_connection) {
        _connector.close(*_connection);
    }
    _connection.reset();
    _opened = false;
    // Commands are idempotent, so those without a response are sent again on the next connection.
    for (const PendingCommand& pending : _sent) {
        _unsent.push_back(pending);
    }
    _sent.clear();
    _nextAttempt = _clock.now() + kReconnectPause;
}

void MemberLink::onTick(TimePoint now) {
    const bool lateOpening = _connection && !_opened && now - _attemptedAt > kOpenTimeout;
    const bool lateAnswer = !_sent.empty() && now - _sent.front().requestedAt > _responseTimeout;
    if (lateAnswer) {
        _responseTimeout = std::min(_responseTimeout * 2, kMaxResponseTimeout);
    }
    if (lateOpening) {
        // The server may run behind a link that loses everything.
        _refusedSince.reset();
    }
    if (lateOpening || lateAnswer) {
        drop();
    }
    dropExpired(now);
    if (!_connection && !_unsent.empty()) {
        open(now);
    }
}

void MemberLink::dropExpired(TimePoint now) {
    std::erase_if(_unsent, [now](const PendingCommand& pending) { return now >= pending.sendBy; });
}

bool MemberLink::isSilentFor(Duration time, TimePoint now) const {
    return now - _lastResponseAt.value_or(_createdAt) >= time;
}

void MemberLink::onOpened(ConnectionId /*connection*/, OpTime /*position*/) {
    _opened = true;
    _refused = false;
    _refusedSince.reset();
    _replaced = false;
    _lastResponseAt = _clock.now();
    std::deque<PendingCommand> unsent;
    unsent.swap(_unsent);
    for (const PendingCommand& pending : unsent) {
        transmit(pending);
    }
}

void MemberLink::onOpenFailed(ConnectionId /*connection*/,
                              const std::optional<pooling::StatementError>& refusal) {
    _connection.reset();
    if (refusal) {
        _lastResponseAt = _clock.now();
    }
    _refused = !refusal;
    _refusedSince = _refused ? std::optional(_refusedSince.value_or(_clock.now())) : std::nullopt;
    _replaced = refusal && refusal->fault == pooling::StatementFault::WrongServer;
    _nextAttempt = _clock.now() + kReconnectPause;
}

void MemberLink::onResult(ConnectionId /*connection*/, pooling::StatementResult result) {
    _lastResponseAt = _clock.now();
    if (_sent.empty()) {
        drop();
        return;
    }
    const PendingCommand pending = _sent.front();
    _sent.pop_front();
    if (!result.succeeded() || result.rows.empty()) {
        return;
    }
    if (const std::optional<ServerReport> report = _parser(result.rows.front())) {
        note(pending, *report);
    }
}

void MemberLink::note(const PendingCommand& pending, const ServerReport& report) {
    const MemberResponse response{report, pending.requestedAt, _clock.now()};
    _report = response;
    if (pending.kind == ServerCommand::Kind::Pause) {
        _paused = response;
    }
}

void MemberLink::onLost(ConnectionId /*connection*/) {
    _connection.reset();
    drop();
    // The server may have restarted: then a replica receives again, and a primary may lead again.
    _report.reset();
    _paused.reset();
}

}  // namespace coralhoist::failover
