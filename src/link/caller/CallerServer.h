/** Accepts callers' connections. */
#pragma once

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/Status.h"
#include "base/Time.h"
#include "link/caller/CallerConnection.h"
#include "link/caller/CallerContext.h"

namespace coralhoist::caller {

using socket::SocketHandler;
using socket::SocketInterest;
using socket::SocketPoller;

/** Bounds and constants of the callers' side of one proxy. */
struct CallerServerOptions {
    /** Most caller connections of this proxy. */
    std::size_t connectionLimit = 20000;
    ConnectionLimits connection;
    SessionLimits session;
    StatementClassifier::Limits classifier;
    /** server_version as reported to callers. */
    std::string serverVersion = "15.0";
};

/** Hands over accepted sockets as they are, without a QTcpSocket around them. */
class CallerListener final : public QTcpServer {
public:
    using AcceptHandler = std::function<void(int)>;

    /** @param onAccept takes over the descriptor. */
    explicit CallerListener(AcceptHandler onAccept) : _onAccept(std::move(onAccept)) {}

protected:
    void incomingConnection(qintptr descriptor) override {
        _onAccept(static_cast<int>(descriptor));
    }

private:
    AcceptHandler _onAccept;
};

/**
 * The callers' side of a proxy: listens, owns all sessions and their shared parts. All on the
 * thread whose event loop it was created on; the executor and the oracle are called there too.
 */
class CallerServer final : public QObject, private SessionDirectory {
public:
    /**
     * @param executor, oracle, clock outlive the server.
     * @param random for the secrets of cancel requests: must be unpredictable in production.
     */
    CallerServer(contract::StatementExecutor& executor, OpTimeOracle& oracle, const Clock& clock,
                 RandomSource& random, CallerServerOptions options = {});
    ~CallerServer() override;

    /** @param port 0 lets the kernel choose. */
    Status listen(const QHostAddress& address, std::uint16_t port);
    std::uint16_t port() const { return _listener.serverPort(); }

    /** The settings in force from now on; sessions of before see them with their next batch. */
    void setSettings(settings::SettingsViewPointer settings);

    /**
     * Planned stop: refuses new connections; each session gets 57P01 as soon as it has no open
     * transaction and no request.
     */
    void drain();
    /** @return whether draining and no connection is left. */
    bool isDrained() const { return _draining && _connections.empty(); }
    /** Breaks all connections. */
    void abortAll();

    std::size_t connectionCount() const { return _connections.size(); }
    /** @return bytes queued for all callers. */
    std::size_t queuedBytes() const;
    const CallerStatistics& statistics() const { return _statistics; }

private:
    using ServiceKey = std::pair<GroupName, ServiceName>;

    Status admit(const GroupName& group, const ServiceName& service, std::uint32_t limit) override;
    void release(const GroupName& group, const ServiceName& service) override;
    void cancel(std::int32_t processId, std::int32_t secretKey) override;
    RequestId nextRequestId() override;

    void accept(int descriptor);
    static void refuse(int descriptor);
    void remove(std::int32_t processId);

    CallerServerOptions _options;
    RandomSource& _random;
    StatementClassifier _classifier;
    CallerStatistics _statistics;
    ConfirmedOpTimes _confirmed;
    CallerContext _context;
    SocketPoller _poller;
    CallerListener _listener;
    /** By the process id that their callers were told. */
    std::unordered_map<std::int32_t, CallerConnection*> _connections;
    std::map<ServiceKey, std::uint32_t> _sessionsOfService;
    std::uint64_t _lastSession = 0;
    std::uint64_t _lastRequest = 0;
    bool _draining = false;
};

}  // namespace coralhoist::caller
