#include "lab/database/ConnectionListener.h"

#include <algorithm>
#include <utility>

#include "base/Error.h"

namespace coralhoist::lab::database {
namespace {

SqlError fatal(const char* sqlState, const char* message) {
    SqlError error;
    error.severity = pgwire::Severity::Fatal;
    error.sqlState = sqlState;
    error.message = message;
    return error;
}

}  // namespace

ConnectionListener::ConnectionListener(SessionHost& host, const ServerOptions& options,
                                       const ZoneDelays& delays, std::uint64_t randomSeed)
    : _host(host),
      _options(options),
      _delays(delays),
      _port(options.port),
      _keys(static_cast<std::mt19937::result_type>(randomSeed)) {
    constexpr int kBacklog = 1024;
    _server.setListenBacklogSize(kBacklog);
    _server.setMaxPendingConnections(kBacklog);
    QObject::connect(&_server, &QTcpServer::newConnection, &_server, [this] { accept(); });
}

ConnectionListener::~ConnectionListener() {
    if (_setup) {
        _host.timers().cancel(*_setup);
    }
}

Status ConnectionListener::listen(const QHostAddress& address) {
    if (!_server.listen(address, _port)) {
        return {ErrorCode::Unavailable, "can't listen: " + _server.errorString().toStdString()};
    }
    _port = _server.serverPort();
    return Status::ok();
}

void ConnectionListener::stop() {
    _server.close();
    resetConnections(static_cast<int>(_connections.size()));
}

void ConnectionListener::accept() {
    while (QTcpSocket* socket = _server.nextPendingConnection()) {
        const auto secretKey = static_cast<std::int32_t>(_keys());
        auto* connection = new ClientConnection(socket, *this, ++_lastProcessId, secretKey);
        connection->setParent(&_server);
        _connections.push_back(connection);
        connection->setFrozen(_frozen);
    }
}

void ConnectionListener::requestAdmission(ClientConnection& connection) {
    if (connectionCount() >= _host.limits().maxConnections) {
        ++_refused;
        return connection.terminate(
            fatal(sqlstate::kTooManyConnections, "sorry, too many clients already"));
    }
    ++_admitted;
    connection.setAdmitted();
    if (_host.limits().connectionCost <= Duration::zero()) {
        return connection.establish();
    }
    _setupQueue.push_back(connection.processId());
    setUpNext();
}

void ConnectionListener::setUpNext() {
    if (_setup || _setupQueue.empty()) {
        return;
    }
    _setup = _host.timers().schedule(_host.limits().connectionCost, [this] {
        _setup.reset();
        const std::int32_t processId = _setupQueue.front();
        _setupQueue.pop_front();
        for (ClientConnection* connection : _connections) {
            if (connection->processId() == processId) {
                connection->establish();
                break;
            }
        }
        setUpNext();
    });
}

void ConnectionListener::cancelStatement(std::int32_t processId, std::int32_t secretKey) {
    for (ClientConnection* connection : _connections) {
        if (connection->processId() == processId && connection->secretKey() == secretKey) {
            return connection->cancelStatement();
        }
    }
}

void ConnectionListener::onClosed(ClientConnection& connection) {
    std::erase(_connections, &connection);
    std::erase(_setupQueue, connection.processId());
    if (_setupQueue.empty() && _setup) {
        _host.timers().cancel(*std::exchange(_setup, std::nullopt));
    }
    connection.deleteLater();
}

void ConnectionListener::resetConnections(int count) {
    const std::vector<ClientConnection*> connections = _connections;
    for (ClientConnection* connection : connections) {
        if (count-- <= 0) {
            return;
        }
        connection->abort();
    }
}

void ConnectionListener::terminateAll(bool onlyUnfinishedWrites) {
    const std::vector<ClientConnection*> connections = _connections;
    for (ClientConnection* connection : connections) {
        if (!onlyUnfinishedWrites || connection->hasUnfinishedWrite()) {
            connection->terminate(fatal(sqlstate::kAdminShutdown,
                                        "terminating connection due to administrator command"));
        }
    }
}

void ConnectionListener::setFrozen(bool frozen) {
    _frozen = frozen;
    const std::vector<ClientConnection*> connections = _connections;
    for (ClientConnection* connection : connections) {
        connection->setFrozen(frozen);
    }
}

int ConnectionListener::connectionCount() const {
    return static_cast<int>(
        std::count_if(_connections.begin(), _connections.end(),
                      [](const ClientConnection* each) { return each->isAdmitted(); }));
}

}  // namespace coralhoist::lab::database
