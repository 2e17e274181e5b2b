#include "lab/database/TimerQueue.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace coralhoist::lab::database {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

TimerQueue::TimerQueue()
    : _descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (_descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "timerfd_create");
    }
    _notifier = std::make_unique<QSocketNotifier>(_descriptor, QSocketNotifier::Read);
    QObject::connect(_notifier.get(), &QSocketNotifier::activated, _notifier.get(),
                     [this] { runExpired(); });
}

TimerQueue::~TimerQueue() {
    _notifier.reset();
    close(_descriptor);
}

TimerId TimerQueue::schedule(Duration delay, Callback callback) {
    const Key key{now() + delay, ++_lastNumber};
    const bool first = _callbacks.empty() || key < _callbacks.begin()->first;
    _callbacks.emplace(key, std::move(callback));
    _deadlines.emplace(key.number, key.deadline);
    if (first) {
        arm();
    }
    return TimerId(key.number);
}

void TimerQueue::cancel(TimerId timer) {
    const auto found = _deadlines.find(timer.value());
    if (found == _deadlines.end()) {
        return;
    }
    _callbacks.erase(Key{found->second, timer.value()});
    _deadlines.erase(found);
}

void TimerQueue::runExpired() {
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t received = read(_descriptor, &expirations, sizeof expirations);
    // Callbacks that are scheduled from here on wait for the next turn, so that a chain of zero
    // delays can't starve the event loop.
    const TimePoint limit = now();
    const std::uint64_t lastNumber = _lastNumber;
    while (!_callbacks.empty()) {
        const auto first = _callbacks.begin();
        if (first->first.deadline > limit || first->first.number > lastNumber) {
            break;
        }
        const Callback callback = std::move(first->second);
        _deadlines.erase(first->first.number);
        _callbacks.erase(first);
        callback();
    }
    arm();
}

void TimerQueue::arm() {
    if (_callbacks.empty()) {
        return;
    }
    // Zero would disarm the timer.
    const auto wanted = _callbacks.begin()->first.deadline.time_since_epoch();
    const std::int64_t nanoseconds = std::max<std::int64_t>(1, wanted.count());
    itimerspec specification{};
    specification.it_value.tv_sec = nanoseconds / kNanosecondsPerSecond;
    specification.it_value.tv_nsec = nanoseconds % kNanosecondsPerSecond;
    timerfd_settime(_descriptor, TFD_TIMER_ABSTIME, &specification, nullptr);
}

}  // namespace coralhoist::lab::database
