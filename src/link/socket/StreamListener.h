/** Accepts TCP connections on one address. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/Status.h"
#include "link/socket/SocketPoller.h"

namespace coralhoist::socket {

/** A listening socket of the event loop. */
class StreamListener final : public SocketHandler {
public:
    /** @param accepted gets each new non-blocking descriptor and owns it. */
    StreamListener(SocketPoller& poller, std::function<void(int descriptor)> accepted);
    ~StreamListener() override;
    StreamListener(const StreamListener&) = delete;
    StreamListener& operator=(const StreamListener&) = delete;

    /** @param port 0 lets the kernel choose. @return Unavailable when the address is taken. */
    Status listen(const std::string& host, std::uint16_t port);

    void close();

    /** @return the port bound, or 0. */
    std::uint16_t port() const;

private:
    void onReadable() override;
    void onWritable() override {}
    void onBroken() override {}

    SocketPoller& _poller;
    std::function<void(int)> _accepted;
    int _descriptor = -1;
    SocketPoller::Registration _registration = 0;
};

}  // namespace coralhoist::socket
