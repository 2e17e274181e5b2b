#include "lab/contract/SimulatedProxy.h"

#include <utility>

namespace coralhoist::simulation {

SimulatedProxy::SimulatedProxy(SimulatedGroup& group, const settings::GroupSettings& settings,
                               const contract::ConnectionShare& share, EventQueue& queue,
                               RandomSource& random)
    : _queue(queue),
      _connector(group, queue, random),
      _executor(std::make_unique<contract::GroupExecutor>(settings, queue, random, _connector)) {
    _connector.attach(*_executor, [this] { rearm(); });
    _executor->setConnectionShare(share);
    _executor->onTick(queue.now());
    rearm();
}

void SimulatedProxy::call(std::function<void()> action) {
    if (!_alive) {
        return;
    }
    if (_paused) {
        _waiting.push_back(std::move(action));
        return;
    }
    action();
    rearm();
}

void SimulatedProxy::rearm() {
    const auto next = _executor->nextTick();
    if (!_alive || _paused || !next || *next >= _armedTime) {
        return;
    }
    _armedTime = *next;
    const std::uint64_t number = ++_armed;
    _queue.at(*next, [this, number] { tick(number); });
}

void SimulatedProxy::tick(std::uint64_t number) {
    if (!_alive || _paused || number != _armed) {
        return;
    }
    _armedTime = TimePoint::max();
    _executor->onTick(_queue.now());
    rearm();
}

void SimulatedProxy::pause() {
    _paused = true;
    _connector.pause();
}

void SimulatedProxy::resume() {
    if (!_paused) {
        return;
    }
    _paused = false;
    _armedTime = TimePoint::max();
    _connector.resume();
    std::vector<std::function<void()>> waiting = std::exchange(_waiting, {});
    for (auto& action : waiting) {
        call(std::move(action));
    }
    rearm();
}

void SimulatedProxy::die() {
    _alive = false;
    _waiting.clear();
    _connector.die();
}

}  // namespace coralhoist::simulation
