#include "link/backend/ConnectionOpener.h"

#include <utility>

namespace coralhoist::backend {
namespace {

/** Notices while connecting are of no use, and libpq would print them to standard error. */
void ignoreNotice(void* /*argument*/, const PGresult* /*notice*/) {}

}  // namespace

ConnectionOpener::ConnectionOpener(QObject* owner, std::function<void(Opened)> onOpened,
                                   std::function<void(ConnectError)> onFailed)
    : _owner(owner),
      _onOpened(std::move(onOpened)),
      _onFailed(std::move(onFailed)),
      _watch(
          owner, [this] { poll(); }, [this] { poll(); }) {
    _timer.setSingleShot(true);
    QObject::connect(&_timer, &QTimer::timeout, owner,
                     [this] { fail({.sqlState = {}, .message = "connect timeout expired"}); });
}

void ConnectionOpener::start(const ConnectionParameters& parameters, Duration timeLimit) {
    _connection = parameters.start();
    if (!_connection || PQstatus(_connection.get()) == CONNECTION_BAD) {
        failLater({.sqlState = {}, .message = PQerrorMessage(_connection.get())});
        return;
    }
    PQsetErrorVerbosity(_connection.get(), PQERRORS_VERBOSE);
    PQsetNoticeReceiver(_connection.get(), ignoreNotice, nullptr);
    _keyRecorder.attach(_connection.get());
    _timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(timeLimit));
    _watch.watch(PQsocket(_connection.get()), false, true);
}

void ConnectionOpener::stop() {
    _finished = true;
    _timer.stop();
    _watch.stop();
    if (_connection) {
        _keyRecorder.detach(_connection.get());
    }
    _connection.reset();
}

void ConnectionOpener::poll() {
    if (_finished) {
        return;
    }
    // libpq may close the socket and open another one: no notifier may stay on it meanwhile.
    _watch.stop();
    switch (PQconnectPoll(_connection.get())) {
        case PGRES_POLLING_READING:
            _watch.watch(PQsocket(_connection.get()), true, false);
            break;
        case PGRES_POLLING_WRITING:
            _watch.watch(PQsocket(_connection.get()), false, true);
            break;
        case PGRES_POLLING_OK:
            succeed();
            break;
        default:
            fail(parseConnectError(PQerrorMessage(_connection.get())));
            break;
    }
}

void ConnectionOpener::succeed() {
    const std::optional<CancelKey> key = _keyRecorder.detach(_connection.get());
    if (PQsetnonblocking(_connection.get(), 1) != 0 ||
        PQenterPipelineMode(_connection.get()) != 1) {
        fail({.sqlState = {}, .message = PQerrorMessage(_connection.get())});
        return;
    }
    PQsetErrorVerbosity(_connection.get(), PQERRORS_DEFAULT);
    Opened opened{.connection = std::move(_connection), .cancelKey = key};
    stop();
    _onOpened(std::move(opened));
}

void ConnectionOpener::fail(const ConnectError& error) {
    if (_finished) {
        return;
    }
    stop();
    _onFailed(error);
}

void ConnectionOpener::failLater(const ConnectError& error) {
    QMetaObject::invokeMethod(
        _owner, [this, error] { fail(error); }, Qt::QueuedConnection);
}

}  // namespace coralhoist::backend
