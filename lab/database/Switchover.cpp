#include "lab/database/Switchover.h"

#include <utility>

#include "base/Error.h"

namespace coralhoist::lab::database {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(1);
/** After this the open write is ended with 57P01. */
constexpr Duration kPatienceWithWriter = std::chrono::seconds(1);
constexpr Duration kGiveUp = std::chrono::seconds(5);

}  // namespace

Switchover::Switchover(TimerQueue& timers, Election& election)
    : _timers(timers), _election(election) {}

Switchover::~Switchover() {
    if (_timer) {
        _timers.cancel(*_timer);
    }
}

Status Switchover::begin(Server& primary, Server& successor, std::function<void(bool)> ended) {
    if (_timer) {
        return {ErrorCode::Unavailable, "a switchover is running"};
    }
    if (!primary.isPrimary() || successor.isPrimary() || !areConnected(primary, successor)) {
        return {ErrorCode::Unavailable, "the servers can't switch over"};
    }
    _primary = &primary;
    _successor = &successor;
    _ended = std::move(ended);
    _begun = _timers.now();
    _primary->writeLock().setSuspended(true);
    _timer = _timers.schedule(Duration::zero(), [this] { check(); });
    return Status::ok();
}

void Switchover::check() {
    _timer.reset();
    const Duration elapsed = _timers.now() - _begun;
    if (!_primary->isPrimary() || elapsed > kGiveUp) {
        return end(false);
    }
    if (_primary->writeLock().isHeld() && elapsed > kPatienceWithWriter) {
        _primary->listener().terminateAll(true);
    }
    const bool isReady = !_primary->writeLock().isHeld() &&
                         _successor->receivedPosition() == _primary->receivedPosition();
    if (isReady) {
        const bool elected = _election.elect(*_successor);
        if (elected) {
            _primary->stepDown();
        }
        return end(elected);
    }
    _timer = _timers.schedule(kCheckInterval, [this] { check(); });
}

void Switchover::end(bool success) {
    _primary->writeLock().setSuspended(false);
    if (const auto ended = std::exchange(_ended, nullptr)) {
        ended(success);
    }
}

}  // namespace coralhoist::lab::database
