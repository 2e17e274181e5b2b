/** Length-prefixed frames over a TCP connection. */
#pragma once

#include <QHostAddress>
#include <QObject>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/Status.h"

namespace coralhoist::frame {

/** Largest frame that a FrameSocket takes unless its owner says otherwise, in bytes. */
constexpr std::uint32_t kDefaultMaximumFrameBytes = 4U << 20U;

/**
 * Sends and receives frames: a length of four bytes, most significant first, then that many bytes.
 *
 * Invariants: frames are delivered whole and in order; at most one maximum frame is held unread, so
 * a sender that announces much or sends fast can't grow memory; closed is called once, and no
 * callback follows it. A frame that is empty or too large is a protocol violation that ends this
 * connection. All calls happen on the thread of the Qt event loop that owns the object. Callbacks
 * may delete the object.
 */
class FrameSocket final : public QObject {
public:
    /** What the owner is told. Unset callbacks are skipped. */
    struct Callbacks {
        /** A connection asked for by connectToAddress() stands. */
        std::function<void()> connected;
        /** One whole frame, without its length. */
        std::function<void(std::string frame)> frameReceived;
        /** The connection is gone: Unavailable, or ProtocolViolation for a bad frame. */
        std::function<void(Status reason)> closed;
        /** Bytes left the send buffer; ask pendingBytes() for what is left. */
        std::function<void()> bytesSent;
    };

    /**
     * @param socket connected or not; owned by the new object.
     * @param maximumFrameBytes largest frame sent or received.
     * @param parent Qt owner, or null.
     */
    FrameSocket(QTcpSocket* socket, std::uint32_t maximumFrameBytes, QObject* parent = nullptr);
    ~FrameSocket() override;
    FrameSocket(const FrameSocket&) = delete;
    FrameSocket& operator=(const FrameSocket&) = delete;

    /** Sets the callbacks; frames that have come already are delivered from the event loop. */
    void setCallbacks(Callbacks callbacks);

    /** Starts a connection to an IP number; connected or closed follows. */
    void connectToAddress(const QHostAddress& address, std::uint16_t port);

    /**
     * Queues one frame.
     * @return InvalidArgument for an empty or too large frame, Unavailable without a connection;
     * nothing is sent then. Success says only that the frame is queued.
     */
    Status sendFrame(std::string_view bytes);

    /** @return bytes queued and not yet given to the kernel; use it for back-pressure. */
    std::int64_t pendingBytes() const { return _socket->bytesToWrite(); }

    /** Stops or resumes the delivery of frames; while stopped, the sender is held back by TCP. */
    void setReceivingPaused(bool paused);

    /** Sends what is queued, then closes; closed follows. */
    void closeGracefully();

    /** Drops the connection and what is queued at once; closed is not called. */
    void abort();

    bool isConnected() const;
    QHostAddress peerAddress() const { return _socket->peerAddress(); }
    std::uint16_t peerPort() const { return _socket->peerPort(); }

private:
    void scheduleReading();
    void readFrames();
    bool readOneFrame();
    void finish(const Status& reason);

    QTcpSocket* _socket;
    std::uint32_t _maximumFrameBytes;
    Callbacks _callbacks;
    bool _receivingPaused = false;
    bool _finished = false;
};

}  // namespace coralhoist::frame
