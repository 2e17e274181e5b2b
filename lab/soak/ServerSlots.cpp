#include "lab/soak/ServerSlots.h"

#include <utility>

namespace coralhoist::soak {

void ServerSlots::acquire(std::function<void()> onSlot) {
    _queue.push_back(std::move(onSlot));
    serveQueue();
}

void ServerSlots::release() {
    --_used;
    serveQueue();
}

bool ServerSlots::isQueueFull() const {
    return _used >= _load.slots && _queue.size() >= _load.longestQueue;
}

void ServerSlots::setLoad(const ServerLoad& load) {
    _load = load;
    serveQueue();
}

void ServerSlots::serveQueue() {
    while (_used < _load.slots && !_queue.empty()) {
        const std::function<void()> onSlot = std::move(_queue.front());
        _queue.pop_front();
        ++_used;
        onSlot();
    }
}

}  // namespace coralhoist::soak
