#include "lab/soak/WireCaller.h"

#include <QHostAddress>
#include <string_view>
#include <utility>

#include "platform/WireWords.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

/** Operations of ten: single writes, single reads, transactions that write, that only read. */
constexpr std::uint64_t kOperationKinds = 10;
constexpr std::uint64_t kSingleWrites = 3;
constexpr std::uint64_t kFirstTransaction = 7;
constexpr std::uint64_t kWritingTransaction = 8;
constexpr std::uint64_t kReadOnlyTransaction = 9;
/** One session of so many is left in the middle of an operation, or after it. */
constexpr std::uint64_t kLeavesMidway = 150;
constexpr std::uint64_t kLeavesAfter = 25;
constexpr std::uint64_t kLongestPauseMs = 50;
constexpr milliseconds kReconnectPause{60};
/** A statement that was sent so long ago has been read, unless the connection was already closing.
 */
constexpr milliseconds kReadAfter{200};

bool isOwnStatement(const std::string& text) {
    return text.starts_with("BEGIN") || text == "ROLLBACK";
}

}  // namespace

WireCaller::WireCaller(CallerWorld& world, ServicePromise service, CallerTenant tenant)
    : _world(world), _service(std::move(service)), _tenant(std::move(tenant)) {
    _next.setSingleShot(true);
    connect(&_next, &QTimer::timeout, this, [this] {
        if (_open) {
            startOperation();
        } else {
            connectToProxy();
        }
    });
    connect(&_socket, &QTcpSocket::readyRead, this, [this] {
        while (_socket.canReadLine()) {
            onLine(_socket.readLine().trimmed().toStdString());
        }
    });
    connect(&_socket, &QTcpSocket::disconnected, this, [this] { onClosed(); });
    connect(&_socket, &QTcpSocket::errorOccurred, this, [this] { onClosed(); });
    _next.start(milliseconds(_world.random.below(kLongestPauseMs)));
}

void WireCaller::connectToProxy() {
    _socket.abort();
    _session = ++_world.lastSession;
    _socket.connectToHost(QHostAddress::LocalHost, _world.choosePort());
    const std::string who = _tenant.credential.empty() ? "caller" : _tenant.credential;
    const std::string hello = "CONNECT " + _service.database + " " + who + "\r\n";
    _socket.write(hello.c_str());
}

/** What was being asked has an unknown outcome. */
void WireCaller::onClosed() {
    const Duration waited = _world.queue.now() - _sentAt;
    if (_world.allAnswered && _busy && waited > kReadAfter) {
        const auto milli = std::chrono::duration_cast<milliseconds>(waited).count();
        _world.judge.fail("LOST: " + _sent + " of session " + std::to_string(_session) +
                          " had no answer when the connection closed after " +
                          std::to_string(milli) + " ms");
    }
    _world.failed += _busy ? 1 : 0;
    _open = false;
    _busy = false;
    _remaining.clear();
    if (!_retired) {
        _next.start(kReconnectPause);
    }
}

void WireCaller::onLine(const std::string& line) {
    std::string_view rest = line;
    const std::string_view word = platform_adapter::takeField(rest);
    if (word == "COMPLETE") {
        _signature = rest == "-" ? std::string() : std::string(rest);
    } else if (word == "ERROR") {
        _fault = platform_adapter::takeField(rest);
    } else if (word == "READY" && !rest.empty()) {
        onReady(rest.front());
    }
}

void WireCaller::onReady(char state) {
    if (!_open) {
        _open = _fault.empty();
        _fault.clear();
        scheduleOperation();
        return;
    }
    if (!_busy) {
        _world.judge.fail("MIXED: an answer came while nothing was asked");
        return;
    }
    ++_world.answered;
    const bool succeeded = _fault.empty();
    if (succeeded && _signature.empty() && !isOwnStatement(_sent)) {
        _world.judge.fail("MIXED: a success without a server's signature");
    }
    if (succeeded && !_remaining.empty()) {
        if (_world.random.below(kLeavesMidway) == 0) {
            ++_world.failed;
            _busy = false;
            _socket.abort();
            onClosed();
            return;
        }
        sendNext();
        return;
    }
    _busy = false;
    if (_sent != "ROLLBACK") {
        judge();
    }
    _remaining.clear();
    if (state != 'I') {
        _busy = true;
        _remaining.push_back("ROLLBACK");
        sendNext();
        return;
    }
    scheduleOperation();
}

void WireCaller::scheduleOperation() {
    if (!_retired) {
        _next.start(milliseconds(1 + _world.random.below(kLongestPauseMs)));
    }
}

void WireCaller::startOperation() {
    if (_world.random.below(kLeavesAfter) == 0) {
        _socket.write("BYE\r\n");
        _socket.disconnectFromHost();
        return;
    }
    const std::uint64_t kind = _world.random.below(kOperationKinds);
    const bool writes = kind < kSingleWrites || kind == kWritingTransaction;
    _commit = writes ? ++_world.lastCommit : 0;
    _since = _world.queue.now();
    _unit = ++_world.lastUnit;
    _busy = true;
    if (kind < kFirstTransaction) {
        _remaining.push_back(writes ? "WRITE 1 a" : "READ 1");
    } else {
        _remaining.push_back(kind == kReadOnlyTransaction ? "BEGIN READ" : "BEGIN");
        _remaining.push_back("READ 1");
        if (writes) {
            _remaining.push_back("WRITE 1 a");
        }
        _remaining.push_back("COMMIT");
    }
    sendNext();
}

void WireCaller::sendNext() {
    _sent = _remaining.front();
    _remaining.pop_front();
    _signature.clear();
    _fault.clear();
    _sentAt = _world.queue.now();
    const std::string id = std::to_string(++_world.lastRequest);
    _world.book[id] = {_session, _service.promise, _service.staleness, _since, _commit};
    if (_world.quotas != nullptr) {
        _world.quotas->onSent(id, _tenant.name, _unit);
    }
    const std::string line = "QUERY " + id + " " + _sent + "\r\n";
    _socket.write(line.c_str());
    // Not left to the event loop: while that is held up the proxy would take the session for idle.
    _socket.flush();
}

void WireCaller::judge() {
    _world.failed += _fault.empty() ? 0 : 1;
    if (_commit == 0) {
        return;
    }
    if (_fault.empty()) {
        _world.judge.onAcknowledged(_commit, _session, _world.queue.now());
    } else if (pooling::provesNotRun(platform_adapter::faultOf(_fault))) {
        _world.judge.onPromisedNothing(_commit);
    }
}

}  // namespace coralhoist::soak
