/** Ends faults after their time, or all at once. */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "lab/simulation/EventQueue.h"

namespace coralhoist::soak {

/** Actions that heal faults. Lives as long as the queue. */
class FaultHealing {
public:
    explicit FaultHealing(simulation::EventQueue& queue) : _queue(queue) {}

    /** Runs the action after a time, or when all is healed. */
    void after(std::chrono::milliseconds time, std::function<void()> action);

    /** Runs all actions that still wait. */
    void healAll();

private:
    void run(std::uint64_t number);

    simulation::EventQueue& _queue;
    std::map<std::uint64_t, std::function<void()>> _actions;
    std::uint64_t _last = 0;
};

}  // namespace coralhoist::soak
