/** A proxy process: the real group executor on simulated connections. */
#pragma once

#include <memory>
#include <set>

#include "contract/GroupExecutor.h"
#include "lab/contract/SimulatedConnector.h"

namespace coralhoist::simulation {

/** Runs a GroupExecutor in virtual time. */
class SimulatedProxy {
public:
    SimulatedProxy(SimulatedGroup& group, const settings::GroupSettings& settings,
                   const contract::ConnectionShare& share, EventQueue& queue, RandomSource& random);

    contract::GroupExecutor& executor() { return *_executor; }
    SimulatedConnector& connector() { return _connector; }
    bool isAlive() const { return _alive; }
    bool isPaused() const { return _paused; }

    /** Calls the executor as a caller's session would; waits while the process is halted. */
    void call(std::function<void()> action);
    void pause();
    void resume();
    void die();

private:
    void rearm();
    void tick(std::uint64_t number);

    EventQueue& _queue;
    SimulatedConnector _connector;
    std::unique_ptr<contract::GroupExecutor> _executor;
    bool _alive = true;
    bool _paused = false;
    std::uint64_t _armed = 0;
    TimePoint _armedTime = TimePoint::max();
    std::vector<std::function<void()>> _waiting;
};

}  // namespace coralhoist::simulation
