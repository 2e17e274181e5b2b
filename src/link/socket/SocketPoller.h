/** Readiness of many sockets behind one notifier of Qt's event loop. */
#pragma once

#include <QSocketNotifier>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace coralhoist::socket {

/** Told when a socket is ready. */
class SocketHandler {
public:
    virtual ~SocketHandler() = default;

    /** Bytes or the end of the stream can be read. */
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
    /** The connection was reset; reported whatever the interest. */
    virtual void onBroken() = 0;
};

/** What a socket waits for. */
struct SocketInterest {
    bool read = true;
    bool write = false;

    bool operator==(const SocketInterest&) const = default;
};

/**
 * An epoll instance. Qt's own event dispatcher polls every descriptor in each turn of the loop,
 * which costs time in proportion to the idle connections; with this one a turn costs time in
 * proportion to the ready ones.
 */
class SocketPoller {
public:
    /** Number of a registration; never reused, so that late events find no other socket. */
    using Registration = std::uint64_t;

    /** @throws std::system_error when the process has no file descriptor left. */
    SocketPoller();
    ~SocketPoller();
    SocketPoller(const SocketPoller&) = delete;
    SocketPoller& operator=(const SocketPoller&) = delete;

    /** @param descriptor non-blocking. @param handler outlives the registration. */
    Registration add(int descriptor, SocketHandler& handler, SocketInterest interest);
    void change(Registration registration, int descriptor, SocketInterest interest);
    void remove(Registration registration, int descriptor);

private:
    void dispatch();
    void notify(Registration registration, std::uint32_t events);

    int _descriptor;
    std::unique_ptr<QSocketNotifier> _notifier;
    std::unordered_map<Registration, SocketHandler*> _handlers;
    Registration _last = 0;
};

}  // namespace coralhoist::socket
