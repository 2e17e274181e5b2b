#include "link/frame/FrameSocket.h"

#include <QMetaObject>
#include <QPointer>
#include <QtEndian>
#include <array>
#include <utility>

#include "base/Error.h"

namespace coralhoist::frame {
namespace {

constexpr qint64 kLengthBytes = 4;

}  // namespace

FrameSocket::FrameSocket(QTcpSocket* socket, std::uint32_t maximumFrameBytes, QObject* parent)
    : QObject(parent), _socket(socket), _maximumFrameBytes(maximumFrameBytes) {
    _socket->setParent(this);
    // Bounds what Qt holds for a sender that is faster than this process.
    _socket->setReadBufferSize(kLengthBytes + _maximumFrameBytes);
    _socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect(_socket, &QTcpSocket::connected, this, [this] {
        _socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        if (_callbacks.connected) {
            _callbacks.connected();
        }
    });
    connect(_socket, &QTcpSocket::readyRead, this, [this] { readFrames(); });
    connect(_socket, &QTcpSocket::bytesWritten, this, [this] {
        if (_callbacks.bytesSent) {
            _callbacks.bytesSent();
        }
    });
    connect(_socket, &QTcpSocket::errorOccurred, this, [this] {
        finish(Status(ErrorCode::Unavailable, _socket->errorString().toStdString()));
    });
    connect(_socket, &QTcpSocket::disconnected, this,
            [this] { finish(Status(ErrorCode::Unavailable, "connection closed")); });
}

FrameSocket::~FrameSocket() {
    // The owner may delete this object from a callback, thus inside a signal of the socket, which
    // must outlive that signal.
    _socket->disconnect(this);
    _socket->abort();
    _socket->setParent(nullptr);
    _socket->deleteLater();
}

void FrameSocket::setCallbacks(Callbacks callbacks) {
    _callbacks = std::move(callbacks);
    scheduleReading();
}

void FrameSocket::connectToAddress(const QHostAddress& address, std::uint16_t port) {
    _socket->connectToHost(address, port);
}

Status FrameSocket::sendFrame(std::string_view bytes) {
    if (bytes.empty() || bytes.size() > _maximumFrameBytes) {
        return {ErrorCode::InvalidArgument, "a frame of " + std::to_string(bytes.size()) +
                                                " bytes can't be sent; the limit is " +
                                                std::to_string(_maximumFrameBytes)};
    }
    if (!isConnected()) {
        return {ErrorCode::Unavailable, "not connected"};
    }
    std::array<char, kLengthBytes> length{};
    qToBigEndian(static_cast<quint32>(bytes.size()), length.data());
    _socket->write(length.data(), kLengthBytes);
    _socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    return Status::ok();
}

void FrameSocket::setReceivingPaused(bool paused) {
    _receivingPaused = paused;
    if (!paused) {
        scheduleReading();
    }
}

void FrameSocket::closeGracefully() {
    _socket->disconnectFromHost();
}

void FrameSocket::abort() {
    _finished = true;
    _socket->abort();
}

bool FrameSocket::isConnected() const {
    return !_finished && _socket->state() == QAbstractSocket::ConnectedState;
}

void FrameSocket::scheduleReading() {
    QMetaObject::invokeMethod(
        this, [this] { readFrames(); }, Qt::QueuedConnection);
}

void FrameSocket::readFrames() {
    // The callback may delete this object, pause it or end the connection.
    const QPointer<FrameSocket> self(this);
    while (!self.isNull() && readOneFrame()) {
    }
}

bool FrameSocket::readOneFrame() {
    if (_finished || _receivingPaused || !_callbacks.frameReceived) {
        return false;
    }
    std::array<char, kLengthBytes> prefix{};
    if (_socket->peek(prefix.data(), kLengthBytes) < kLengthBytes) {
        return false;
    }
    const auto length = qFromBigEndian<quint32>(prefix.data());
    if (length == 0 || length > _maximumFrameBytes) {
        finish(Status(ErrorCode::ProtocolViolation, "frame of " + std::to_string(length) +
                                                        " bytes; allowed are 1 to " +
                                                        std::to_string(_maximumFrameBytes)));
        return false;
    }
    if (_socket->bytesAvailable() < kLengthBytes + static_cast<qint64>(length)) {
        return false;
    }
    _socket->skip(kLengthBytes);
    std::string frame(length, '\0');
    _socket->read(frame.data(), length);
    _callbacks.frameReceived(std::move(frame));
    return true;
}

void FrameSocket::finish(const Status& reason) {
    if (_finished) {
        return;
    }
    const QPointer<FrameSocket> self(this);
    if (reason.code() != ErrorCode::ProtocolViolation) {
        // The last frames before an orderly close still count.
        readFrames();
    }
    if (self.isNull() || _finished) {
        return;
    }
    _finished = true;
    _socket->abort();
    if (_callbacks.closed) {
        _callbacks.closed(reason);
    }
}

}  // namespace coralhoist::frame
