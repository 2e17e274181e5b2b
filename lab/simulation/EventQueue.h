/** Virtual time: events run in order of time, as fast as the machine can. */
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/Time.h"

namespace coralhoist::simulation {

/** A queue of events on a virtual time line. Events of the same time run in the order of their
 * scheduling, so a run is repeated exactly by the same seed. */
class EventQueue final : public Clock {
public:
    using Action = std::function<void()>;

    TimePoint now() const override { return _now; }

    /** Runs the action at a time; at once if the time has passed. */
    void at(TimePoint time, Action action);

    /** Runs the action after a delay. */
    void after(Duration delay, Action action) { at(_now + delay, std::move(action)); }

    /** Runs all events up to and including a time, and moves the time there. */
    void runUntil(TimePoint time);

    /** Runs all events of the next span of time. */
    void runFor(Duration span) { runUntil(_now + span); }

    /** @return the number of events that were run. */
    std::uint64_t eventsRun() const { return _eventsRun; }

private:
    struct Event {
        TimePoint time;
        std::uint64_t order = 0;
        Action action;
    };
    struct Later {
        bool operator()(const Event& left, const Event& right) const {
            return left.time != right.time ? left.time > right.time : left.order > right.order;
        }
    };

    std::vector<Event> _heap;
    TimePoint _now{std::chrono::hours(1)};
    std::uint64_t _nextOrder = 0;
    std::uint64_t _eventsRun = 0;
};

}  // namespace coralhoist::simulation
