#include "link/socket/StreamConnection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>

namespace coralhoist::socket {
namespace {

constexpr std::size_t kReadBytes = 16384;
/** Unacknowledged bytes break the connection after this many milliseconds. */
constexpr int kUserTimeoutMs = 6000;

void setOption(int descriptor, int level, int option, int value) {
    setsockopt(descriptor, level, option, &value, sizeof value);
}

void prepareDescriptor(int descriptor) {
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}  // namespace

StreamConnection::StreamConnection(SocketPoller& poller, StreamHandler& handler)
    : _poller(poller), _handler(handler) {}

StreamConnection::~StreamConnection() {
    close();
}

bool StreamConnection::connectTo(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    _descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (_descriptor < 0) {
        return false;
    }
    prepareDescriptor(_descriptor);
    const int result =
        ::connect(_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(_descriptor);
        _descriptor = -1;
        return false;
    }
    _connecting = true;
    _interest = SocketInterest{false, true};
    _registration = _poller.add(_descriptor, *this, _interest);
    return true;
}

void StreamConnection::adopt(int descriptor) {
    _descriptor = descriptor;
    prepareDescriptor(descriptor);
    _interest = SocketInterest{true, false};
    _registration = _poller.add(_descriptor, *this, _interest);
}

void StreamConnection::write(std::string_view bytes) {
    if (!isOpen()) {
        return;
    }
    if (!_unsent.empty() || _connecting) {
        _unsent.append(bytes);
        return;
    }
    const ssize_t sent =
        mayStillSend() ? ::send(_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) : 0;
    const std::size_t taken = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    if (taken < bytes.size()) {
        // An error shows again when the poller reports the broken connection.
        _unsent.append(bytes.substr(taken));
        watch(SocketInterest{true, true});
    }
}

void StreamConnection::writeBefore(TimePoint deadline, const Clock& clock, std::string_view bytes) {
    _sendLimit = SendLimit{&clock, deadline};
    write(bytes);
}

bool StreamConnection::mayStillSend() const {
    return !_sendLimit || _sendLimit->clock->now() < _sendLimit->deadline;
}

void StreamConnection::giveUpUnacknowledgedAfter(Duration time) {
    if (isOpen()) {
        const auto limit = std::chrono::ceil<std::chrono::milliseconds>(time);
        setOption(_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
    }
}

void StreamConnection::close(CloseMode mode) {
    if (!isOpen()) {
        return;
    }
    _poller.remove(_registration, _descriptor);
    if (mode == CloseMode::Abort) {
        const linger immediately{1, 0};
        setsockopt(_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    }
    ::close(_descriptor);
    _descriptor = -1;
    _received.clear();
    _unsent.clear();
}

void StreamConnection::watch(SocketInterest interest) {
    if (interest == _interest) {
        return;
    }
    _interest = interest;
    _poller.change(_registration, _descriptor, interest);
}

void StreamConnection::fail(CloseMode mode) {
    close(mode);
    _handler.onClosed(*this);
}

void StreamConnection::onBroken() {
    if (!_connecting) {
        // What arrived before the end is still to be read.
        onReadable();
    }
    if (isOpen()) {
        fail();
    }
}

void StreamConnection::onWritable() {
    if (_connecting) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail();
            return;
        }
        _connecting = false;
        watch(SocketInterest{true, false});
        _handler.onConnected(*this);
    }
    if (isOpen()) {
        flush();
    }
}

void StreamConnection::flush() {
    if (!_unsent.empty() && !mayStillSend()) {
        fail(CloseMode::Abort);
        return;
    }
    if (!_unsent.empty()) {
        const ssize_t sent = ::send(_descriptor, _unsent.data(), _unsent.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != EINTR) {
            fail();
            return;
        }
        _unsent.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
    }
    watch(SocketInterest{true, !_unsent.empty()});
}

void StreamConnection::onReadable() {
    std::array<char, kReadBytes> bytes;  // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (isOpen()) {
        const ssize_t received = ::recv(_descriptor, bytes.data(), bytes.size(), 0);
        if (received < 0 && errno == EINTR) {
            continue;
        }
        if (received < 0 && errno == EAGAIN) {
            return;
        }
        if (received <= 0) {
            fail();
            return;
        }
        _received.append(bytes.data(), static_cast<std::size_t>(received));
        std::string buffer;
        buffer.swap(_received);
        _handler.onBytes(*this, buffer);
        if (isOpen()) {
            buffer.append(_received);
            _received.swap(buffer);
        }
        if (static_cast<std::size_t>(received) < bytes.size()) {
            return;
        }
    }
}

}  // namespace coralhoist::socket
