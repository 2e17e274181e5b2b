/** Peer messages over one TCP connection. */
#pragma once

#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <cstddef>
#include <functional>
#include <string>

#include "base/Status.h"
#include "base/Time.h"
#include "gen/peer_types.h"
#include "link/frame/FrameSocket.h"

namespace coralhoist::peer {

/** One connection, from either side, with or without Hello. Destroying it drops the connection. */
class PeerConnection final {
public:
    /** What the owner is told; never during a call of the connection, nor after its destruction. */
    struct Callbacks {
        std::function<void()> connected;
        /** @return an error when the message breaks the protocol; the connection then closes. */
        std::function<Status(gen::PeerMessage message)> received;
        std::function<void(const std::string& reason)> closed;
        std::function<void()> bytesSent;
    };

    /** @param socket taken over. */
    PeerConnection(QTcpSocket* socket, TimePoint now, Callbacks callbacks);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    /** Replaces the callbacks, when the connection passes to another owner. */
    void setCallbacks(Callbacks callbacks);

    /** Starts to connect; connected or closed follows. */
    void open(const QHostAddress& address, std::uint16_t port);

    /** @return as PeerChannels::send. */
    Status send(const gen::PeerMessage& message);

    /** Sends what is queued, then closes. */
    void closeGracefully() { _frames->closeGracefully(); }

    std::size_t unsentBytes() const { return static_cast<std::size_t>(_frames->pendingBytes()); }
    TimePoint createdAt() const { return _createdAt; }

private:
    void onFrame(const std::string& frame);
    void onClosed(const std::string& reason);

    /** Outlives this object until its current signal has ended. */
    frame::FrameSocket* _frames;
    TimePoint _createdAt;
    std::shared_ptr<Callbacks> _callbacks;
    /** Whether this object still exists; shared with running callbacks. */
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

}  // namespace coralhoist::peer
