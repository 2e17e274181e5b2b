/** The port and the connections of one server. */
#pragma once

#include <QHostAddress>
#include <QTcpServer>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "base/Status.h"
#include "lab/database/ClientConnection.h"

namespace coralhoist::lab::database {

/** Accepts, admits and closes connections, and keeps the server's limits on them. */
class ConnectionListener final : public ConnectionOwner {
public:
    /** host, options and delays outlive the listener. */
    ConnectionListener(SessionHost& host, const ServerOptions& options, const ZoneDelays& delays,
                       std::uint64_t randomSeed);
    ~ConnectionListener() override;

    /**
     * Opens the port: the given one, or the one that it had before.
     * @return Unavailable when it is taken.
     */
    Status listen(const QHostAddress& address);
    std::uint16_t port() const { return _port; }

    /** Closes the port and breaks all connections. */
    void stop();
    /** Breaks up to so many connections with a TCP reset. */
    void resetConnections(int count);
    /** Ends all connections, or those with an unfinished write, with 57P01. */
    void terminateAll(bool onlyUnfinishedWrites);
    void setFrozen(bool frozen);
    void setAnswerDelay(Duration delay) { _answerDelay = delay; }

    /** @return connections that count against the limit. */
    int connectionCount() const;
    /** @return connections admitted since the start. */
    std::uint64_t admittedCount() const { return _admitted; }
    /** @return connections refused since the start. */
    std::uint64_t refusedCount() const { return _refused; }

    void requestAdmission(ClientConnection& connection) override;
    void cancelStatement(std::int32_t processId, std::int32_t secretKey) override;
    Duration answerDelay() const override { return _answerDelay; }
    const ZoneName& zone() const override { return _options.zone; }
    const ZoneDelays& zoneDelays() const override { return _delays; }
    SessionHost& host() override { return _host; }
    void onClosed(ClientConnection& connection) override;

private:
    void accept();
    void setUpNext();

    SessionHost& _host;
    const ServerOptions& _options;
    const ZoneDelays& _delays;
    std::uint16_t _port = 0;
    /** Owns the connections. */
    QTcpServer _server;
    std::mt19937 _keys;
    std::int32_t _lastProcessId = 1000;
    std::vector<ClientConnection*> _connections;
    /** Process ids of connections that wait to be set up, one at a time. */
    std::deque<std::int32_t> _setupQueue;
    std::optional<TimerId> _setup;
    bool _frozen = false;
    Duration _answerDelay{0};
    std::uint64_t _admitted = 0;
    std::uint64_t _refused = 0;
};

}  // namespace coralhoist::lab::database
