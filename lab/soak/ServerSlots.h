/** Limits how many commands a stand-in server works on at a time. */
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>

namespace coralhoist::soak {

/** How much a server can do, and how slowly it does it. */
struct ServerLoad {
    /** Commands and new connections that are worked on at a time. */
    std::size_t slots = 3;
    /** Commands that wait for a slot; further ones are refused as busy. */
    std::size_t longestQueue = 64;
    /** Connections that are open at a time; further ones are refused. */
    std::size_t connections = 60;
    /** Each command holds its slot for an extra time between these. */
    std::chrono::milliseconds shortestDelay{0};
    std::chrono::milliseconds longestDelay{0};
};

/** Slots of one server and the commands that wait for one, first come, first served. */
class ServerSlots {
public:
    /** Runs the action once a slot is free; whoever got the slot has to release it. */
    void acquire(std::function<void()> onSlot);
    void release();

    /** @return whether a further command has to be refused. */
    bool isQueueFull() const;

    const ServerLoad& load() const { return _load; }
    /** Takes a new load; commands that have a slot keep it. */
    void setLoad(const ServerLoad& load);

    std::size_t used() const { return _used; }

private:
    void serveQueue();

    ServerLoad _load;
    std::size_t _used = 0;
    std::deque<std::function<void()>> _queue;
};

}  // namespace coralhoist::soak
