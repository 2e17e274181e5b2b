/** One TCP connection of the event loop: buffered, non-blocking, with an abortive close. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "link/socket/SocketPoller.h"

namespace coralhoist::socket {

class StreamConnection;

/** Told what happens on a connection. May close it from within any call, never destroy it. */
class StreamHandler {
public:
    virtual ~StreamHandler() = default;

    /** An outgoing connection is established. */
    virtual void onConnected(StreamConnection& connection) = 0;

    /** @param buffer all bytes not consumed yet; the handler erases what it has consumed. */
    virtual void onBytes(StreamConnection& connection, std::string& buffer) = 0;

    /** The other side closed it or it broke; not called after close(). */
    virtual void onClosed(StreamConnection& connection) = 0;
};

/** How a connection is closed from this side. */
enum class CloseMode {
    Orderly, /**< Bytes written before still reach the other side if it can be reached. */
    Abort,   /**< Reset; unsent and undelivered bytes are dropped. */
};

/** A connection, from its opening or acceptance to its end. */
class StreamConnection final : public SocketHandler {
public:
    /** @param poller, handler outlive the connection. */
    StreamConnection(SocketPoller& poller, StreamHandler& handler);
    ~StreamConnection() override;
    StreamConnection(const StreamConnection&) = delete;
    StreamConnection& operator=(const StreamConnection&) = delete;

    /** Starts to connect to an IPv4 number. @return false when that failed at once. */
    bool connectTo(const std::string& host, std::uint16_t port);

    /** Takes an accepted descriptor. */
    void adopt(int descriptor);

    /** Sends bytes, or keeps them until the connection takes them. */
    void write(std::string_view bytes);

    void close(CloseMode mode = CloseMode::Orderly);

    bool isOpen() const { return _descriptor >= 0; }

    /** Bytes written and not taken by the kernel yet. */
    std::size_t unsentBytes() const { return _unsent.size(); }

private:
    void onReadable() override;
    void onWritable() override;
    void onBroken() override;
    void fail();
    void flush();
    void watch(SocketInterest interest);

    SocketPoller& _poller;
    StreamHandler& _handler;
    int _descriptor = -1;
    bool _connecting = false;
    SocketPoller::Registration _registration = 0;
    SocketInterest _interest;
    std::string _received;
    std::string _unsent;
};

}  // namespace coralhoist::socket
