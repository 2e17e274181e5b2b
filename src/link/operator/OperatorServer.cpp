#include "link/operator/OperatorServer.h"

#include <memory>

#include "base/Error.h"
#include "link/operator/OperatorConnection.h"
#include "link/operator/OperatorLimits.h"

namespace coralhoist::operators {

OperatorServer::OperatorServer(OperatorService& service) : _service(service) {
    QObject::connect(&_server, &QTcpServer::newConnection, &_server,
                     [this] { acceptConnections(); });
}

Status OperatorServer::listen(const QHostAddress& address, std::uint16_t port) {
    if (!_server.listen(address, port)) {
        return {ErrorCode::Unavailable, "operators' port " + address.toString().toStdString() +
                                            ":" + std::to_string(port) + ": " +
                                            _server.errorString().toStdString()};
    }
    return Status::ok();
}

void OperatorServer::acceptConnections() {
    while (QTcpSocket* socket = _server.nextPendingConnection()) {
        if (_connectionCount >= kMostConnections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        ++_connectionCount;
        const auto connection = std::make_shared<OperatorConnection*>(nullptr);
        *connection = new OperatorConnection(
            socket, _service,
            [this, connection] {
                --_connectionCount;
                (*connection)->deleteLater();
            },
            &_server);
    }
}

}  // namespace coralhoist::operators
