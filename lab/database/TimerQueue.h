/** Timers of microsecond resolution on the Qt event loop. */
#pragma once

#include <QSocketNotifier>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::lab::database {

/** Number of a scheduled callback. */
using TimerId = Identifier<struct TimerIdTag, std::uint64_t>;

/**
 * Runs callbacks after delays. QTimer counts whole milliseconds, which is too coarse for link
 * delays and service times. Callbacks with the same deadline run in the order of their scheduling,
 * and never during schedule().
 */
class TimerQueue {
public:
    using Callback = std::function<void()>;

    /** @throws std::system_error when the process has no file descriptor left. */
    TimerQueue();
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    /** @return the current monotonic time. */
    TimePoint now() const { return std::chrono::steady_clock::now(); }

    /** @param delay from now; zero and less run in the next turn of the event loop. */
    TimerId schedule(Duration delay, Callback callback);

    /** Forgets a callback. Numbers that have run or are unknown are ignored. */
    void cancel(TimerId timer);

private:
    struct Key {
        TimePoint deadline;
        std::uint64_t number = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): the linter misreads the generated comparison.
        auto operator<=>(const Key&) const = default;
    };

    void runExpired();
    void arm();

    int _descriptor = -1;
    std::unique_ptr<QSocketNotifier> _notifier;
    std::uint64_t _lastNumber = 0;
    std::map<Key, Callback> _callbacks;
    std::unordered_map<std::uint64_t, TimePoint> _deadlines;
};

}  // namespace coralhoist::lab::database
