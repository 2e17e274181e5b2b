#include "lab/soak/SettingsProbe.h"

#include <QHostAddress>
#include <chrono>
#include <optional>

namespace coralhoist::soak {
namespace {

constexpr std::chrono::milliseconds kPause{100};
/** A proxy that is paused answers later or never; its answers count no more then. */
constexpr std::chrono::milliseconds kGivenUpAfter{2000};
/** One of so many questions is for a database that has been dropped. */
constexpr std::size_t kDroppedEvery = 3;

}  // namespace

SettingsProbe::SettingsProbe(std::size_t proxy, std::uint16_t port, SettingsJudge& judge,
                             const Clock& clock)
    : _proxy(proxy), _port(port), _judge(judge), _clock(clock) {
    connect(&_timer, &QTimer::timeout, this, [this] { ask(); });
    _timer.start(kPause);
}

void SettingsProbe::ask() {
    const bool dropped = ++_asked % kDroppedEvery == 0;
    const std::optional<std::string> database =
        dropped ? _judge.droppedByAll() : _judge.knownToAll();
    if (!database) {
        return;
    }
    auto* socket = new QTcpSocket(this);
    connect(socket, &QTcpSocket::connected, this, [this, socket, name = *database] {
        const TimePoint askedAt = _clock.now();
        connect(socket, &QTcpSocket::readyRead, this,
                [this, socket, name, askedAt] { onLine(*socket, name, askedAt); });
        socket->write(("CONNECT " + name + " probe\r\n").c_str());
    });
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    connect(socket, &QTcpSocket::errorOccurred, socket, &QObject::deleteLater);
    socket->connectToHost(QHostAddress::LocalHost, _port);
    QTimer::singleShot(kGivenUpAfter, socket, [socket] {
        socket->abort();
        socket->deleteLater();
    });
}

void SettingsProbe::onLine(QTcpSocket& socket, const std::string& database, TimePoint askedAt) {
    if (!socket.canReadLine()) {
        return;
    }
    const QByteArray line = socket.readLine();
    const bool served = line.startsWith("READY");
    if (served || line.startsWith("ERROR NODB")) {
        _judge.onAnswer(_proxy, database, served, askedAt);
    }
    socket.disconnect(this);
    socket.abort();
    socket.deleteLater();
}

}  // namespace coralhoist::soak
