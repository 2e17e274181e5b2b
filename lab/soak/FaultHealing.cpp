#include "lab/soak/FaultHealing.h"

#include <utility>

namespace coralhoist::soak {

void FaultHealing::after(std::chrono::milliseconds time, std::function<void()> action) {
    const std::uint64_t number = ++_last;
    _actions[number] = std::move(action);
    _queue.after(time, [this, number] { run(number); });
}

void FaultHealing::run(std::uint64_t number) {
    const auto found = _actions.find(number);
    if (found != _actions.end()) {
        const std::function<void()> action = std::move(found->second);
        _actions.erase(found);
        action();
    }
}

void FaultHealing::healAll() {
    while (!_actions.empty()) {
        run(_actions.begin()->first);
    }
}

}  // namespace coralhoist::soak
