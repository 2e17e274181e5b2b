#include "link/backend/LibpqConnector.h"

#include <algorithm>
#include <utility>

#include "link/backend/CancelSender.h"

namespace coralhoist::backend {
namespace {

LibpqConnector::ServerLookup lookupIn(std::vector<settings::ServerEndpoint> servers) {
    return [servers = std::move(servers)](
               const ServerName& name) -> std::optional<settings::ServerEndpoint> {
        const auto found =
            std::find_if(servers.begin(), servers.end(),
                         [&name](const auto& server) { return server.name == name; });
        if (found == servers.end()) {
            return std::nullopt;
        }
        return *found;
    };
}

}  // namespace

LibpqConnector::LibpqConnector(ServerLookup lookup, BackendCredentials credentials,
                               ZoneName ownZone, contract::BackendEvents& events,
                               ConnectorOptions options)
    : _lookup(std::move(lookup)),
      _credentials(std::move(credentials)),
      _ownZone(std::move(ownZone)),
      _events(events),
      _options(options) {}

LibpqConnector::LibpqConnector(std::vector<settings::ServerEndpoint> servers,
                               BackendCredentials credentials, ZoneName ownZone,
                               contract::BackendEvents& events, ConnectorOptions options)
    : LibpqConnector(lookupIn(std::move(servers)), std::move(credentials), std::move(ownZone),
                     events, options) {}

LibpqConnector::~LibpqConnector() {
    // Children refer to members of this object, so they go first.
    qDeleteAll(findChildren<QObject*>(Qt::FindDirectChildrenOnly));
}

ConnectionId LibpqConnector::open(const ServerName& server) {
    const ConnectionId id(++_lastNumber);
    auto* connection = new BackendConnection(
        id, _events, _options, [this, id] { forget(id); }, this);
    const std::optional<settings::ServerEndpoint> endpoint = _lookup(server);
    _connections.emplace(id, Entry{.connection = connection,
                                   .server = endpoint.value_or(settings::ServerEndpoint{})});
    if (endpoint) {
        connection->open(ConnectionParameters(*endpoint, _credentials, _ownZone, _options));
    } else {
        connection->refuse("no server named " + server.value());
    }
    return id;
}

void LibpqConnector::run(ConnectionId connection, contract::BackendProgram program) {
    BackendConnection* found = find(connection);
    if (found != nullptr) {
        found->run(std::move(program));
    }
}

void LibpqConnector::cancel(ConnectionId connection) {
    const BackendConnection* found = find(connection);
    if (found == nullptr || !found->cancelKey() || _cancelsUnderWay >= _options.cancelLimit) {
        return;
    }
    auto* request = new CancelSender(_connections.at(connection).server, *found->cancelKey(),
                                     _options.cancelTimeout, this);
    ++_cancelsUnderWay;
    QObject::connect(request, &QObject::destroyed, this, [this] { --_cancelsUnderWay; });
}

void LibpqConnector::setReading(ConnectionId connection, bool reading) {
    BackendConnection* found = find(connection);
    if (found != nullptr) {
        found->setReading(reading);
    }
}

void LibpqConnector::close(ConnectionId connection) {
    BackendConnection* found = find(connection);
    if (found != nullptr) {
        found->shutdown();
        forget(connection);
    }
}

void LibpqConnector::setCredentials(BackendCredentials credentials) {
    _credentials = std::move(credentials);
}

BackendConnection* LibpqConnector::find(ConnectionId connection) const {
    const auto found = _connections.find(connection);
    return found == _connections.end() ? nullptr : found->second.connection;
}

void LibpqConnector::forget(ConnectionId connection) {
    const auto found = _connections.find(connection);
    if (found == _connections.end()) {
        return;
    }
    // The connection may be on the call stack.
    found->second.connection->deleteLater();
    _connections.erase(found);
}

}  // namespace coralhoist::backend
