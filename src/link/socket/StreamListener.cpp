#include "link/socket/StreamListener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/Error.h"

namespace coralhoist::socket {
namespace {

constexpr int kBacklog = 512;

}  // namespace

StreamListener::StreamListener(SocketPoller& poller, std::function<void(int)> accepted)
    : _poller(poller), _accepted(std::move(accepted)) {}

StreamListener::~StreamListener() {
    close();
}

Status StreamListener::listen(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return {ErrorCode::InvalidArgument, "'" + host + "' is not an IPv4 number"};
    }
    _descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(_descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    if (_descriptor < 0 || ::bind(_descriptor, raw, sizeof address) != 0 ||
        ::listen(_descriptor, kBacklog) != 0) {
        return {ErrorCode::Unavailable,
                "listen on " + host + ":" + std::to_string(port) + ": " + std::strerror(errno)};
    }
    _registration = _poller.add(_descriptor, *this, SocketInterest{true, false});
    return Status::ok();
}

void StreamListener::close() {
    if (_descriptor < 0) {
        return;
    }
    if (_registration != 0) {
        _poller.remove(_registration, _descriptor);
    }
    ::close(_descriptor);
    _descriptor = -1;
}

std::uint16_t StreamListener::port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(_descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    return ntohs(address.sin_port);
}

void StreamListener::onReadable() {
    while (_descriptor >= 0) {
        const int accepted = ::accept4(_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        _accepted(accepted);
    }
}

}  // namespace coralhoist::socket
