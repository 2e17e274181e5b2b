/** Ports on loopback that stay with a soak while the processes that listen there come and go. */
#pragma once

#include <QUdpSocket>
#include <cstdint>

namespace coralhoist::soak {

/**
 * A TCP port outside of the range from which the kernel takes ports of outgoing connections and
 * of listeners that ask for any, so that a restarted process finds it free. The UDP port of the
 * same number is held meanwhile, which keeps other soaks on the machine from choosing it.
 */
class ReservedPort {
public:
    ReservedPort();

    /** @return the port; 0 when none was free. */
    std::uint16_t number() const { return _number; }

private:
    bool reserve(std::uint16_t number);

    QUdpSocket _holder;
    std::uint16_t _number = 0;
};

}  // namespace coralhoist::soak
