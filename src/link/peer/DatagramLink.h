/** Datagrams between proxies, for membership. */
#pragma once

#include <QHostAddress>
#include <QObject>
#include <QUdpSocket>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/Status.h"

namespace coralhoist::peer {

/** Largest datagram that is sent or received, in bytes: fits one Ethernet frame unfragmented. */
inline constexpr std::size_t kMaximumDatagramBytes = 1400;

/** A UDP socket on the peer port. Delivery, order and origin are not assured. */
class DatagramLink final : public QObject {
public:
    /** Called with each datagram and where it claims to come from. */
    using Receiver =
        std::function<void(const std::string& host, std::uint16_t port, const std::string& bytes)>;

    /** @param receiver called from the event loop. */
    explicit DatagramLink(Receiver receiver);

    /**
     * @param address this node's IP number.
     * @param port the peer port; 0 lets the kernel choose.
     * @return Unavailable when the port can't be bound.
     */
    Status bind(const std::string& address, std::uint16_t port);

    std::uint16_t port() const { return _socket.localPort(); }

    /**
     * @param host IP number.
     * @return InvalidArgument for a datagram that is too large, Unavailable when the kernel refused
     *         it. Success does not say that it arrives.
     */
    Status send(const std::string& host, std::uint16_t port, std::string_view bytes);

private:
    void receive();

    Receiver _receiver;
    QUdpSocket _socket;
};

}  // namespace coralhoist::peer
