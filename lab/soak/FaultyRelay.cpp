#include "lab/soak/FaultyRelay.h"

#include <QHostAddress>
#include <algorithm>

namespace coralhoist::soak {
namespace {

/** Connections that wait to be accepted, and more than enough to fill that queue. */
constexpr int kBacklog = 32;
constexpr int kFillers = 2 * kBacklog;

}  // namespace

FaultyRelay::FaultyRelay(std::uint16_t targetPort) : _targetPort(targetPort) {
    connect(&_server, &QTcpServer::newConnection, this, [this] { accept(); });
    _server.setListenBacklogSize(kBacklog);
    _server.listen(QHostAddress::LocalHost, 0);
}

FaultyRelay::~FaultyRelay() {
    for (const auto& direction : _directions) {
        if (direction->from) {
            direction->from->disconnect(this);
        }
    }
}

void FaultyRelay::accept() {
    while (QTcpSocket* caller = _server.nextPendingConnection()) {
        auto* target = new QTcpSocket(this);
        caller->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        target->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        target->connectToHost(QHostAddress::LocalHost, _targetPort);
        for (const bool toTarget : {true, false}) {
            auto direction = std::make_shared<Direction>();
            direction->from = toTarget ? caller : target;
            direction->to = toTarget ? target : caller;
            direction->toTarget = toTarget;
            _directions.push_back(direction);
            connect(direction->from, &QTcpSocket::readyRead, this,
                    [this, direction] { receive(direction); });
            connect(direction->from, &QTcpSocket::disconnected, this, [this, direction] {
                receive(direction);
                if (direction->to) {
                    direction->to->disconnectFromHost();
                }
                direction->from->deleteLater();
            });
        }
        connect(target, &QTcpSocket::connected, this, [this] { setFaults(_faults); });
        connect(target, &QTcpSocket::errorOccurred, caller, [caller] { caller->abort(); });
    }
    std::erase_if(_directions, [](const auto& direction) { return !direction->from; });
}

void FaultyRelay::setQueueFull(bool full) {
    if (full == !_fillers.empty()) {
        return;
    }
    if (!full) {
        _fillers.clear();
        _server.resumeAccepting();
        return;
    }
    _server.pauseAccepting();
    for (int index = 0; index < kFillers; ++index) {
        _fillers.push_back(std::make_unique<QTcpSocket>());
        _fillers.back()->connectToHost(QHostAddress::LocalHost, _server.serverPort());
    }
}

void FaultyRelay::silenceOpenConnections() {
    for (const auto& direction : _directions) {
        direction->silenced = true;
    }
}

bool FaultyRelay::isSilent(const Direction& direction) const {
    if (direction.silenced) {
        return true;
    }
    return direction.toTarget ? _faults.silenceToTarget : _faults.silenceToCaller;
}

void FaultyRelay::receive(const std::shared_ptr<Direction>& direction) {
    if (!direction->from || !direction->from->isOpen()) {
        return;
    }
    const QByteArray bytes = direction->from->readAll();
    if (_faults.delay.count() == 0) {
        direction->waiting += bytes;
        flush(*direction);
        return;
    }
    QTimer::singleShot(_faults.delay, this, [this, direction, bytes] {
        direction->waiting += bytes;
        flush(*direction);
    });
}

void FaultyRelay::flush(Direction& direction) {
    const auto state = direction.to ? direction.to->state() : QAbstractSocket::UnconnectedState;
    const bool open =
        state == QAbstractSocket::ConnectedState || state == QAbstractSocket::ConnectingState;
    if (!isSilent(direction) && open && !direction.waiting.isEmpty()) {
        direction.to->write(direction.waiting);
        direction.waiting.clear();
    }
}

void FaultyRelay::setFaults(const RelayFaults& faults) {
    _faults = faults;
    for (const auto& direction : _directions) {
        flush(*direction);
    }
}

void FaultyRelay::resetAll() {
    const auto directions = std::exchange(_directions, {});
    for (const auto& direction : directions) {
        if (direction->from) {
            direction->from->abort();
        }
    }
}

}  // namespace coralhoist::soak
