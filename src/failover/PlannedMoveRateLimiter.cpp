#include "failover/PlannedMoveRateLimiter.h"

namespace coralhoist::failover {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/**
 * Less than half of the calls that the platform usually accepts, because other nodes may call as
 * well.
 */
constexpr std::size_t kMovesInWindow = 20;

}  // namespace

bool PlannedMoveRateLimiter::tryAcquire(TimePoint now) {
    while (!_begun.empty() && now - _begun.front() >= kWindow) {
        _begun.pop_front();
    }
    if (_begun.size() >= kMovesInWindow) {
        return false;
    }
    _begun.push_back(now);
    return true;
}

}  // namespace coralhoist::failover
