/** Planned changes of primary. */
#pragma once

#include <functional>
#include <optional>

#include "lab/database/Election.h"

namespace coralhoist::lab::database {

/**
 * Moves the role of primary to a replica without losing a commit: new writes wait, the open one may
 * end, the replica catches up, and is elected. One switchover runs at a time.
 */
class Switchover {
public:
    Switchover(TimerQueue& timers, Election& election);
    ~Switchover();
    Switchover(const Switchover&) = delete;
    Switchover& operator=(const Switchover&) = delete;

    /**
     * @param primary the present one.
     * @param successor a replica that is connected with it.
     * @param ended called with the success, in a later turn.
     * @return Unavailable when it can't begin.
     */
    Status begin(Server& primary, Server& successor, std::function<void(bool success)> ended);

private:
    void check();
    void end(bool success);

    TimerQueue& _timers;
    Election& _election;
    Server* _primary = nullptr;
    Server* _successor = nullptr;
    std::function<void(bool)> _ended;
    TimePoint _begun;
    std::optional<TimerId> _timer;
};

}  // namespace coralhoist::lab::database
