#include "link/backend/CancelSender.h"

#include <QHostAddress>
#include <chrono>

#include "link/pgwire/FrontendMessages.h"

namespace coralhoist::backend {

CancelSender::CancelSender(const settings::ServerEndpoint& server, CancelKey key,
                           Duration timeLimit, QObject* parent)
    : QObject(parent), _key(key) {
    connect(&_socket, &QTcpSocket::connected, this, &CancelSender::sendPacket);
    connect(&_socket, &QTcpSocket::disconnected, this, &QObject::deleteLater);
    connect(&_socket, &QTcpSocket::errorOccurred, this, &QObject::deleteLater);
    connect(&_timer, &QTimer::timeout, this, &QObject::deleteLater);
    _timer.setSingleShot(true);
    _timer.start(std::chrono::duration_cast<std::chrono::milliseconds>(timeLimit));
    _socket.connectToHost(QHostAddress(QString::fromStdString(server.host)), server.port);
}

void CancelSender::sendPacket() {
    const pgwire::CancelRequest request{.processId = _key.processId, .secretKey = _key.secretKey};
    _socket.write(pgwire::encodeCancelRequest(request));
}

}  // namespace coralhoist::backend
