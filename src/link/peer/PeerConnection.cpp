#include "link/peer/PeerConnection.h"

#include <utility>

#include "base/Error.h"
#include "link/frame/ThriftCodec.h"
#include "link/peer/LinkKnobs.h"
#include "link/peer/MessageConversion.h"

namespace coralhoist::peer {

PeerConnection::PeerConnection(QTcpSocket* socket, TimePoint now, Callbacks callbacks)
    : _frames(new frame::FrameSocket(socket, kMaximumPeerFrameBytes)),
      _createdAt(now),
      _callbacks(std::make_shared<Callbacks>(std::move(callbacks))) {
    frame::FrameSocket::Callbacks frameCallbacks;
    frameCallbacks.connected = [this] {
        const auto current = _callbacks;
        if (current->connected) {
            current->connected();
        }
    };
    frameCallbacks.frameReceived = [this](const std::string& frame) { onFrame(frame); };
    frameCallbacks.closed = [this](const Status& reason) { onClosed(reason.message()); };
    frameCallbacks.bytesSent = [this] {
        const auto current = _callbacks;
        if (current->bytesSent) {
            current->bytesSent();
        }
    };
    _frames->setCallbacks(std::move(frameCallbacks));
}

PeerConnection::~PeerConnection() {
    *_alive = false;
    // It may be in the middle of one of its callbacks, so it is deleted by the event loop. An
    // aborted socket calls back no more.
    _frames->abort();
    _frames->deleteLater();
}

void PeerConnection::setCallbacks(Callbacks callbacks) {
    _callbacks = std::make_shared<Callbacks>(std::move(callbacks));
}

void PeerConnection::open(const QHostAddress& address, std::uint16_t port) {
    _frames->connectToAddress(address, port);
}

Status PeerConnection::send(const gen::PeerMessage& message) {
    return _frames->sendFrame(frame::encodeThrift(message));
}

void PeerConnection::onFrame(const std::string& frame) {
    StatusWith<gen::PeerMessage> message = frame::decodeThrift<gen::PeerMessage>(frame);
    if (!message.isOk()) {
        onClosed(message.status().message());
        return;
    }
    if (!isWellFormed(message.value())) {
        onClosed("a message must have exactly one member");
        return;
    }
    const auto current = _callbacks;
    const auto alive = _alive;
    const Status handled = current->received(std::move(message).value());
    if (!handled.isOk() && *alive) {
        onClosed(handled.message());
    }
}

void PeerConnection::onClosed(const std::string& reason) {
    _frames->abort();
    const auto current = _callbacks;
    if (current->closed) {
        current->closed(reason);
    }
}

}  // namespace coralhoist::peer
