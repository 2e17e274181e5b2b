/** One caller's TCP connection. */
#pragma once

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <functional>
#include <string>

#include "link/caller/CallerContext.h"
#include "link/caller/CallerSession.h"
#include "link/socket/SocketPoller.h"

namespace coralhoist::caller {

using socket::SocketHandler;
using socket::SocketInterest;
using socket::SocketPoller;

/** Bounds of one connection. */
struct ConnectionLimits {
    /** Time from the connection to the end of its start-up phase. */
    Duration startupTimeout = std::chrono::seconds(10);
    /** Time in which a closed connection must take its last bytes. */
    Duration closeTimeout = std::chrono::seconds(5);
    /** Queued output above which results are held back. */
    std::size_t outputHighWater = 262144;
    /** Queued output below which they go on. */
    std::size_t outputLowWater = 65536;
};

/** Moves bytes between a socket and its session; runs on the event loop of its thread. */
class CallerConnection final : public QObject, private SessionOutput, private SocketHandler {
public:
    /** Told once when the connection has ended; the connection may be deleted later, not then. */
    using ClosedHandler = std::function<void()>;

    /**
     * @param context, poller outlive the connection.
     * @param descriptor a connected socket; owned from now on.
     */
    CallerConnection(const CallerContext& context, SocketPoller& poller, SessionId id,
                     CancelIdentity identity, ConnectionLimits limits, int descriptor,
                     ClosedHandler onClosed);
    ~CallerConnection() override;

    CallerSession& session() { return _session; }
    const CallerSession& session() const { return _session; }
    /** @return bytes queued for the caller. */
    std::size_t queuedBytes() const { return _output.size() - _sent; }
    /** Breaks the connection at once. */
    void abort();

private:
    void send(const std::string& bytes) override;
    void flush() override;
    bool hasRoom() const override;
    void close() override;

    void onReadable() override;
    void onWritable() override;
    void onBroken() override { abort(); }

    bool readOnce();
    bool writeQueued();
    void updateInterest();
    void scheduleProgress();
    void progress();
    void onStartupTimeout();
    void finishClose();
    void end();

    const CallerContext& _context;
    SocketPoller& _poller;
    ConnectionLimits _limits;
    int _descriptor;
    SocketInterest _interest;
    SocketPoller::Registration _registration;
    CallerSession _session;
    ClosedHandler _onClosed;
    QTimer _timer;
    /** Bytes for the caller; those before _sent are gone. */
    std::string _output;
    std::size_t _sent = 0;
    bool _progressScheduled = false;
    /** The session is over; only queued bytes are still sent. */
    bool _closing = false;
    bool _ended = false;
    /** The high-water mark was reached and the low-water mark not yet since. */
    mutable bool _full = false;
};

}  // namespace coralhoist::caller
