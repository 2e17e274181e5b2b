#include "link/caller/CallerServer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "base/Error.h"
#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::caller {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::uint64_t kProcessIdMask = 0x7FFFFFFF;
constexpr const char* kTooManyConnections = "53300";

}  // namespace

CallerServer::CallerServer(contract::StatementExecutor& executor, OpTimeOracle& oracle,
                           const Clock& clock, RandomSource& random, CallerServerOptions options)
    : _options(std::move(options)),
      _random(random),
      _classifier(_options.classifier),
      _context{executor,
               oracle,
               clock,
               *this,
               _classifier,
               _statistics,
               _confirmed,
               nullptr,
               _options.session,
               _options.serverVersion},
      _listener([this](int descriptor) { accept(descriptor); }) {
    _listener.setListenBacklogSize(kListenBacklog);
}

CallerServer::~CallerServer() {
    _listener.close();
    for (const auto& [processId, connection] : std::exchange(_connections, {})) {
        delete connection;
    }
}

Status CallerServer::listen(const QHostAddress& address, std::uint16_t port) {
    if (_listener.listen(address, port)) {
        return Status::ok();
    }
    return {ErrorCode::Unavailable, "can't listen on " + address.toString().toStdString() + ":" +
                                        std::to_string(port) + ": " +
                                        _listener.errorString().toStdString()};
}

void CallerServer::setSettings(settings::SettingsViewPointer settings) {
    _context.settings = std::move(settings);
}

void CallerServer::accept(int descriptor) {
    if (_connections.size() >= _options.connectionLimit) {
        ++_statistics.connectionsRefused;
        refuse(descriptor);
        return;
    }
    ++_statistics.connectionsAccepted;
    const std::uint64_t number = ++_lastSession;
    const auto processId = static_cast<std::int32_t>(number & kProcessIdMask);
    const CancelIdentity identity{processId, static_cast<std::int32_t>(_random.next())};
    _connections[processId] =
        new CallerConnection(_context, _poller, SessionId(number), identity, _options.connection,
                             descriptor, [this, processId] { remove(processId); });
}

/** The new socket's buffer takes the message whole; a caller that does not read it gets nothing. */
void CallerServer::refuse(int descriptor) {
    pgwire::ResponseFields fields;
    fields.severity = pgwire::Severity::Fatal;
    fields.sqlState = kTooManyConnections;
    fields.message = "the proxy has too many connections";
    const std::string bytes = pgwire::encodeErrorResponse(fields);
    [[maybe_unused]] const ssize_t sent =
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::close(descriptor);
}

void CallerServer::remove(std::int32_t processId) {
    const auto found = _connections.find(processId);
    if (found == _connections.end()) {
        return;
    }
    ++_statistics.connectionsClosed;
    found->second->deleteLater();
    _connections.erase(found);
}

void CallerServer::drain() {
    _draining = true;
    _listener.close();
    // A session that ends leaves the map.
    std::vector<CallerConnection*> connections;
    connections.reserve(_connections.size());
    for (const auto& [processId, connection] : _connections) {
        connections.push_back(connection);
    }
    for (CallerConnection* connection : connections) {
        connection->session().drain();
    }
}

void CallerServer::abortAll() {
    std::vector<CallerConnection*> connections;
    connections.reserve(_connections.size());
    for (const auto& [processId, connection] : _connections) {
        connections.push_back(connection);
    }
    for (CallerConnection* connection : connections) {
        connection->abort();
    }
}

std::size_t CallerServer::queuedBytes() const {
    std::size_t total = 0;
    for (const auto& [processId, connection] : _connections) {
        total += connection->queuedBytes();
    }
    return total;
}

Status CallerServer::admit(const GroupName& group, const ServiceName& service,
                           std::uint32_t limit) {
    const auto found = _sessionsOfService.find({group, service});
    const std::uint32_t sessions = found == _sessionsOfService.end() ? 0 : found->second;
    if (sessions >= limit) {
        return {ErrorCode::Overloaded,
                "service \"" + service.value() + "\" has too many connections on this proxy"};
    }
    _sessionsOfService[{group, service}] = sessions + 1;
    return Status::ok();
}

void CallerServer::release(const GroupName& group, const ServiceName& service) {
    const auto found = _sessionsOfService.find({group, service});
    if (found != _sessionsOfService.end() && --found->second == 0) {
        _sessionsOfService.erase(found);
    }
}

void CallerServer::cancel(std::int32_t processId, std::int32_t secretKey) {
    const auto found = _connections.find(processId);
    if (found != _connections.end() && found->second->session().cancel(secretKey)) {
        ++_statistics.cancelsAccepted;
    } else {
        ++_statistics.cancelsIgnored;
    }
}

RequestId CallerServer::nextRequestId() {
    return RequestId(++_lastRequest);
}

}  // namespace coralhoist::caller
