#include "link/peer/DatagramLink.h"

#include <array>
#include <utility>

#include "base/Error.h"

namespace coralhoist::peer {
namespace {

/** Datagrams read before other work of the event loop gets its turn. */
constexpr int kDatagramsPerTurn = 256;

}  // namespace

DatagramLink::DatagramLink(Receiver receiver) : _receiver(std::move(receiver)) {
    connect(&_socket, &QUdpSocket::readyRead, this, [this] { receive(); });
}

Status DatagramLink::bind(const std::string& address, std::uint16_t port) {
    if (!_socket.bind(QHostAddress(QString::fromStdString(address)), port,
                      QAbstractSocket::DontShareAddress)) {
        return {ErrorCode::Unavailable, "can't bind datagrams to " + address + ":" +
                                            std::to_string(port) + ": " +
                                            _socket.errorString().toStdString()};
    }
    return Status::ok();
}

Status DatagramLink::send(const std::string& host, std::uint16_t port, std::string_view bytes) {
    if (bytes.empty() || bytes.size() > kMaximumDatagramBytes) {
        return {ErrorCode::InvalidArgument,
                "a datagram of " + std::to_string(bytes.size()) + " bytes can't be sent"};
    }
    const qint64 sent = _socket.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                                              QHostAddress(QString::fromStdString(host)), port);
    if (sent != static_cast<qint64>(bytes.size())) {
        return {ErrorCode::Unavailable, _socket.errorString().toStdString()};
    }
    return Status::ok();
}

void DatagramLink::receive() {
    for (int count = 0; count < kDatagramsPerTurn && _socket.hasPendingDatagrams(); ++count) {
        // One byte more than allowed tells a longer datagram from one that just fits.
        std::array<char, kMaximumDatagramBytes + 1> buffer{};
        QHostAddress sender;
        quint16 port = 0;
        const qint64 size = _socket.readDatagram(buffer.data(), buffer.size(), &sender, &port);
        if (size <= 0 || static_cast<std::size_t>(size) > kMaximumDatagramBytes) {
            continue;
        }
        _receiver(sender.toString().toStdString(), port,
                  std::string(buffer.data(), static_cast<std::size_t>(size)));
    }
    if (_socket.hasPendingDatagrams()) {
        QMetaObject::invokeMethod(
            this, [this] { receive(); }, Qt::QueuedConnection);
    }
}

}  // namespace coralhoist::peer
