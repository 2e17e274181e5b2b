#include "base/BoundedLogAppender.h"

#include <log4cplus/layout.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <sstream>
#include <utility>

namespace coralhoist {
namespace {

/** Lines are gathered for so long before they are written: fewer wake-ups and calls. */
constexpr std::chrono::milliseconds kGatherTime{50};

}  // namespace

BoundedLogAppender::BoundedLogAppender(int descriptor, bool held)
    : _descriptor(descriptor), _held(held), _writer([this] { run(); }) {}

BoundedLogAppender::~BoundedLogAppender() {
    destructorImpl();
}

void BoundedLogAppender::append(const log4cplus::spi::InternalLoggingEvent& event) {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    bool wakes = false;
    {
        const std::lock_guard lock(_mutex);
        if (_lines.size() >= kCapacity) {
            ++_dropped;
            return;
        }
        wakes = _lines.empty();
        _lines.push_back(std::move(line).str());
    }
    if (wakes) {
        _wake.notify_one();
    }
}

void BoundedLogAppender::release() {
    {
        const std::lock_guard lock(_mutex);
        _held = false;
    }
    _wake.notify_one();
}

void BoundedLogAppender::close() {
    {
        const std::lock_guard lock(_mutex);
        if (std::exchange(_stopping, true)) {
            return;
        }
    }
    _wake.notify_one();
    _writer.join();
    closed = true;
}

std::uint64_t BoundedLogAppender::droppedTotal() const {
    const std::lock_guard lock(_mutex);
    return _dropped;
}

void BoundedLogAppender::run() {
    std::unique_lock lock(_mutex);
    while (true) {
        _wake.wait(lock, [this] { return _stopping || (!_held && !_lines.empty()); });
        if (!_stopping) {
            lock.unlock();
            std::this_thread::sleep_for(kGatherTime);
            lock.lock();
        }
        std::string bytes;
        for (const std::string& line : _lines) {
            bytes += line;
        }
        _lines.clear();
        if (_dropped != _droppedTold) {
            bytes += "event=log.dropped lines=" + std::to_string(_dropped - _droppedTold) + "\n";
            _droppedTold = _dropped;
        }
        const bool last = _stopping;
        lock.unlock();
        writeAll(bytes);
        if (last) {
            return;
        }
        lock.lock();
    }
}

void BoundedLogAppender::writeAll(const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(_descriptor, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return;
        }
        written += static_cast<std::size_t>(count);
    }
}

}  // namespace coralhoist
