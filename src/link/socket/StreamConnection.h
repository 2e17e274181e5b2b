/** One TCP connection of the event loop: buffered, non-blocking, with an abortive close. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/Time.h"
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

    /**
     * Sends bytes before the deadline only, as the clock shows it when they are handed to the
     * system. If some of them are still unsent then, the connection breaks and drops them. The
     * deadline holds for all that is written until the next one is set.
     * @param clock outlives the connection.
     */
    void writeBefore(TimePoint deadline, const Clock& clock, std::string_view bytes);

    /**
     * Lets the system break the connection when the other side's host has not acknowledged bytes
     * for this time, which also holds while this process does not run.
     */
    void giveUpUnacknowledgedAfter(Duration time);

    void close(CloseMode mode = CloseMode::Orderly);

    bool isOpen() const { return _descriptor >= 0; }

    /** Bytes written and not taken by the kernel yet. */
    std::size_t unsentBytes() const { return _unsent.size(); }

private:
    /** Until when bytes may be sent. */
    struct SendLimit {
        const Clock* clock = nullptr;
        TimePoint deadline{};
    };

    void onReadable() override;
    void onWritable() override;
    void onBroken() override;
    void fail(CloseMode mode = CloseMode::Orderly);
    void flush();
    bool mayStillSend() const;
    void watch(SocketInterest interest);

    SocketPoller& _poller;
    StreamHandler& _handler;
    int _descriptor = -1;
    bool _connecting = false;
    SocketPoller::Registration _registration = 0;
    SocketInterest _interest;
    std::string _received;
    std::string _unsent;
    std::optional<SendLimit> _sendLimit;
};

}  // namespace coralhoist::socket
