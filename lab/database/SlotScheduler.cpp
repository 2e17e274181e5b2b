#include "lab/database/SlotScheduler.h"

#include <algorithm>
#include <utility>

namespace coralhoist::lab::database {

void SlotScheduler::enter(SlotTicket ticket, Duration serviceTime, Served served) {
    _waiting.push_back({ticket, serviceTime, std::move(served)});
    serveNext();
}

void SlotScheduler::cancel(SlotTicket ticket) {
    const auto running = _running.find(ticket.value());
    if (running != _running.end()) {
        _timers.cancel(running->second);
        _running.erase(running);
        ++_free;
        serveNext();
        return;
    }
    std::erase_if(_waiting, [ticket](const Request& request) { return request.ticket == ticket; });
}

void SlotScheduler::serveNext() {
    while (_free > 0 && !_waiting.empty()) {
        Request next = std::move(_waiting.front());
        _waiting.pop_front();
        serve(std::move(next));
    }
}

void SlotScheduler::serve(Request request) {
    if (request.serviceTime <= Duration::zero()) {
        request.served();
        return;
    }
    --_free;
    const std::uint64_t ticket = request.ticket.value();
    _running[ticket] =
        _timers.schedule(request.serviceTime, [this, ticket, served = std::move(request.served)] {
            _running.erase(ticket);
            ++_free;
            served();
            serveNext();
        });
}

}  // namespace coralhoist::lab::database
