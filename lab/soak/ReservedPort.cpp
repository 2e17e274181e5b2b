#include "lab/soak/ReservedPort.h"

#include <QHostAddress>
#include <QTcpServer>

namespace coralhoist::soak {
namespace {

/** Linux takes ports from 32768 on by itself. */
constexpr std::uint16_t kFirstPort = 20000;
constexpr std::uint16_t kLastPort = 32000;

}  // namespace

ReservedPort::ReservedPort() {
    for (std::uint16_t number = kFirstPort; number <= kLastPort; ++number) {
        if (reserve(number)) {
            _number = number;
            return;
        }
    }
}

bool ReservedPort::reserve(std::uint16_t number) {
    if (!_holder.bind(QHostAddress::LocalHost, number, QAbstractSocket::DontShareAddress)) {
        return false;
    }
    QTcpServer probe;
    if (probe.listen(QHostAddress::LocalHost, number)) {
        return true;
    }
    _holder.close();
    return false;
}

}  // namespace coralhoist::soak
