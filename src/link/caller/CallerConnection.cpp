#include "link/caller/CallerConnection.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace coralhoist::caller {
namespace {

constexpr std::size_t kReadBytes = 65536;
/** Reads in one turn, so that one busy caller does not keep the others waiting. */
constexpr int kReadsPerTurn = 4;

std::chrono::milliseconds milliseconds(Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

void configure(int descriptor) {
    const int enabled = 1;
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
}

bool wouldBlock() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

CallerConnection::CallerConnection(const CallerContext& context, SocketPoller& poller, SessionId id,
                                   CancelIdentity identity, ConnectionLimits limits, int descriptor,
                                   ClosedHandler onClosed)
    : _context(context),
      _poller(poller),
      _limits(limits),
      _descriptor(descriptor),
      _registration(0),
      _session(context, id, identity, *this),
      _onClosed(std::move(onClosed)) {
    configure(descriptor);
    _registration = _poller.add(descriptor, *this, _interest);
    _timer.setSingleShot(true);
    connect(&_timer, &QTimer::timeout, this, [this] { onStartupTimeout(); });
    _timer.start(milliseconds(_limits.startupTimeout));
}

CallerConnection::~CallerConnection() {
    _onClosed = nullptr;
    end();
}

void CallerConnection::onReadable() {
    for (int count = 0; count < kReadsPerTurn && !_ended; ++count) {
        const bool wanted = _closing || _session.wantsInput();
        if (!wanted || !readOnce()) {
            break;
        }
    }
    if (_session.isStarted() && !_closing) {
        _timer.stop();
    }
    updateInterest();
}

/** @return whether more may be read now. */
bool CallerConnection::readOnce() {
    // One buffer for all connections of a thread: its content is taken before the next read.
    thread_local std::array<char, kReadBytes> buffer;
    const ssize_t count = recv(_descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && wouldBlock()) {
        return false;
    }
    if (count <= 0) {
        end();
        return false;
    }
    if (!_closing) {
        _session.receive(QByteArray(buffer.data(), count));
    }
    return static_cast<std::size_t>(count) == buffer.size();
}

void CallerConnection::onWritable() {
    const bool wasFull = _full;
    if (!writeQueued()) {
        return;
    }
    if (wasFull && hasRoom()) {
        scheduleProgress();
    }
    updateInterest();
}

/** @return false when the connection has ended. */
bool CallerConnection::writeQueued() {
    while (!_ended && queuedBytes() > 0) {
        const ssize_t count =
            ::send(_descriptor, _output.data() + _sent, queuedBytes(), MSG_NOSIGNAL);
        if (count < 0 && wouldBlock()) {
            break;
        }
        if (count < 0) {
            end();
            return false;
        }
        _sent += static_cast<std::size_t>(count);
    }
    if (queuedBytes() == 0) {
        _output = {};
        _sent = 0;
        if (_closing) {
            finishClose();
        }
    } else if (_sent > _output.size() / 2) {
        _output.erase(0, _sent);
        _sent = 0;
    }
    return !_ended;
}

void CallerConnection::updateInterest() {
    if (_ended) {
        return;
    }
    const SocketInterest wanted{_closing || _session.wantsInput(), queuedBytes() > 0};
    if (wanted != _interest) {
        _interest = wanted;
        _poller.change(_registration, _descriptor, wanted);
    }
}

/** Goes on from the event loop and not from within a call of the session or the executor. */
void CallerConnection::scheduleProgress() {
    if (_progressScheduled || _closing) {
        return;
    }
    _progressScheduled = true;
    QMetaObject::invokeMethod(
        this, [this] { progress(); }, Qt::QueuedConnection);
}

void CallerConnection::progress() {
    _progressScheduled = false;
    if (_closing || !writeQueued()) {
        return;
    }
    if (hasRoom()) {
        _session.onOutputDrained();
    }
    updateInterest();
}

void CallerConnection::send(const std::string& bytes) {
    if (_closing) {
        return;
    }
    _output += bytes;
    scheduleProgress();
}

void CallerConnection::flush() {
    // The end of the stream is noticed by the next read, not within a call of the session.
    if (!_ended && queuedBytes() > 0) {
        const ssize_t count =
            ::send(_descriptor, _output.data() + _sent, queuedBytes(), MSG_NOSIGNAL);
        _sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        if (queuedBytes() == 0) {
            _output = {};
            _sent = 0;
        }
    }
    scheduleProgress();
}

bool CallerConnection::hasRoom() const {
    const std::size_t queued = queuedBytes();
    _full = _full ? queued > _limits.outputLowWater : queued > _limits.outputHighWater;
    return !_full;
}

void CallerConnection::close() {
    if (_closing) {
        return;
    }
    _closing = true;
    _timer.stop();
    // The caller may never take the last bytes.
    QTimer::singleShot(milliseconds(_limits.closeTimeout), this, [this] { end(); });
    QMetaObject::invokeMethod(
        this,
        [this] {
            writeQueued();
            updateInterest();
        },
        Qt::QueuedConnection);
}

/** Unread input would make the kernel reset the connection and drop the last bytes. */
void CallerConnection::finishClose() {
    for (int count = 0; count < kReadsPerTurn && !_ended && readOnce(); ++count) {
    }
    end();
}

void CallerConnection::abort() {
    _closing = true;
    end();
}

void CallerConnection::onStartupTimeout() {
    if (!_session.isStarted()) {
        ++_context.statistics.startupTimeouts;
        abort();
    }
}

void CallerConnection::end() {
    if (std::exchange(_ended, true)) {
        return;
    }
    _closing = true;
    _timer.stop();
    _poller.remove(_registration, _descriptor);
    ::close(_descriptor);
    _session.disconnect();
    if (const ClosedHandler handler = std::exchange(_onClosed, nullptr)) {
        handler();
    }
}

}  // namespace coralhoist::caller
