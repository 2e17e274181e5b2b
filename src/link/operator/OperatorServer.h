/** The port on which a proxy serves operators. */
#pragma once

#include <QHostAddress>
#include <QTcpServer>
#include <cstdint>

#include "base/Status.h"
#include "link/operator/OperatorService.h"

namespace coralhoist::operators {

/**
 * Accepts operators' connections and hands their requests to the service. Lives on one Qt event
 * loop; the service is called there.
 */
class OperatorServer {
public:
    /** @param service outlives this object. */
    explicit OperatorServer(OperatorService& service);

    /**
     * @param address IP number to listen on.
     * @param port TCP port, or 0 for one that the kernel chooses.
     * @return Unavailable with the reason when the port can't be had.
     */
    Status listen(const QHostAddress& address, std::uint16_t port);

    /** @return the port that listen() got. */
    std::uint16_t port() const { return _server.serverPort(); }

    std::size_t connectionCount() const { return _connectionCount; }

    /** Stops listening; connections that stand are served on. */
    void stopListening() { _server.close(); }

private:
    void acceptConnections();

    OperatorService& _service;
    std::size_t _connectionCount = 0;
    /** Owns the connections. */
    QTcpServer _server;
};

}  // namespace coralhoist::operators
