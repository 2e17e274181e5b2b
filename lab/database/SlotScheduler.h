/** The execution slots of one server. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "base/Identifier.h"
#include "lab/database/TimerQueue.h"

namespace coralhoist::lab::database {

/** Number of one use of a slot. */
using SlotTicket = Identifier<struct SlotTicketTag, std::uint64_t>;

/** Lets a limited number of statements be served at a time; the others wait in order. */
class SlotScheduler {
public:
    using Served = std::function<void()>;

    SlotScheduler(TimerQueue& timers, int slotCount) : _timers(timers), _free(slotCount) {}

    /** @return a ticket for one use of a slot. */
    SlotTicket nextTicket() { return SlotTicket(++_lastTicket); }

    /**
     * Waits for a slot and occupies it.
     * @param ticket a new one.
     * @param serviceTime how long the slot is occupied.
     * @param served called when the slot is free again: during this call if a slot is free and the
     *        service takes no time, else later.
     */
    void enter(SlotTicket ticket, Duration serviceTime, Served served);

    /** Withdraws a statement from the queue or its slot; unknown tickets are ignored. */
    void cancel(SlotTicket ticket);

    std::size_t waitingCount() const { return _waiting.size(); }

private:
    struct Request {
        SlotTicket ticket;
        Duration serviceTime;
        Served served;
    };

    void serveNext();
    void serve(Request request);

    TimerQueue& _timers;
    int _free;
    std::uint64_t _lastTicket = 0;
    std::deque<Request> _waiting;
    std::unordered_map<std::uint64_t, TimerId> _running;
};

}  // namespace coralhoist::lab::database
