#include "lab/simulation/EventQueue.h"

#include <algorithm>
#include <utility>

namespace coralhoist::simulation {

void EventQueue::at(TimePoint time, Action action) {
    _heap.push_back(Event{std::max(time, _now), _nextOrder++, std::move(action)});
    std::push_heap(_heap.begin(), _heap.end(), Later{});
}

void EventQueue::runUntil(TimePoint time) {
    while (!_heap.empty() && _heap.front().time <= time) {
        std::pop_heap(_heap.begin(), _heap.end(), Later{});
        Event event = std::move(_heap.back());
        _heap.pop_back();
        _now = event.time;
        ++_eventsRun;
        event.action();
    }
    _now = std::max(_now, time);
}

}  // namespace coralhoist::simulation
