#include "pooling/CatchUpEstimate.h"

#include <algorithm>

#include "base/Backoff.h"

namespace coralhoist::pooling {
namespace {

using Seconds = std::chrono::duration<double>;

/** Time over which a rate is computed: over a shorter time, gaps between commits would count as
 * pauses of the replica. */
constexpr Duration kRateSpan = std::chrono::milliseconds(200);
/** A replica whose lag is at most this counts as one that keeps up, whatever its last rate was: the
 * positions that callers with a staleness bound require are older than this lag. */
constexpr Duration kKeepsUpWithin = std::chrono::milliseconds(300);
/** Below this rate a replica counts as making no progress: callers time out before it reaches the
 * position that it lacks. */
constexpr double kStalledRate = 0.2;
/** Upper bound of the rate. A replica that advances faster skips the part of the log that delayed
 * it, and reaches the remaining positions after its usual lag. */
constexpr double kHighestRate = 20;
/** Minimum time from the last observation of a replica until a position that the replica lacked
 * then is expected: the time of a network round trip. */
constexpr Duration kEarliestProgress = std::chrono::milliseconds(10);
/** A rate is extrapolated for no longer than this. */
constexpr Duration kExtrapolationLimit = std::chrono::seconds(1);
/** An observation that is older than this is verified by a read. A read that is refused costs its
 * caller a round trip, whereas all reads go to the primary for as long as this node does not
 * observe that the replica has caught up. */
constexpr Duration kVerifiedAfter = std::chrono::milliseconds(250);

}  // namespace

void CatchUpEstimate::observe(OpTime position, Duration lag, TimePoint now) {
    if (position < _position) {
        return;
    }
    _position = position;
    if (isRefuted(position)) {
        _lacked = OpTime{};
        _nextProbe = now;
        _pause = Duration(0);
    }
    _observedAt = now;
    _lag = lag;
    if (_anchorAt == TimePoint{} || now - _anchorAt > kExtrapolationLimit) {
        _anchorAt = now;
        _anchorLag = lag;
        return;
    }
    if (now - _anchorAt < kRateSpan) {
        return;
    }
    _rate = std::clamp(1 + Seconds(_anchorLag - lag) / Seconds(now - _anchorAt), 0.0, kHighestRate);
    _anchorAt = now;
    _anchorLag = lag;
}

void CatchUpEstimate::refuse(OpTime floor, TimePoint now, const ProbePauses& pauses) {
    if (floor <= _position) {
        return;
    }
    _lacked = _lacked.term > 0 ? std::min(_lacked, floor) : floor;
    _pause = nextBackoff(_pause, pauses.shortest, pauses.longest);
    _nextProbe = now + _pause;
}

void CatchUpEstimate::ask(OpTime floor, TimePoint reachedAt, TimePoint now,
                          const ProbePauses& pauses) {
    if (isRefuted(floor) || expected(floor, reachedAt, now) != Duration(0)) {
        _nextProbe = now + std::max(_pause, pauses.shortest);
    }
}

std::optional<Duration> CatchUpEstimate::timeUntil(OpTime floor, TimePoint reachedAt,
                                                   TimePoint now) const {
    const std::optional<Duration> wait = expected(floor, reachedAt, now);
    const bool mayProbe = now >= _nextProbe;
    if (!wait) {
        return mayProbe ? std::optional(Duration(0)) : std::nullopt;
    }
    if (*wait > Duration(0)) {
        return mayProbe && now - _observedAt > kVerifiedAfter ? Duration(0) : *wait;
    }
    return isRefuted(floor) && !mayProbe ? _nextProbe - now : Duration(0);
}

/** @return the time until the replica has the position, disregarding refusals. */
std::optional<Duration> CatchUpEstimate::expected(OpTime floor, TimePoint reachedAt,
                                                  TimePoint now) const {
    if (floor <= _position || _observedAt == TimePoint{}) {
        return Duration(0);
    }
    const Duration lag = lagAt(now);
    const Duration behind = std::max(reachedAt + lag, _observedAt + kEarliestProgress) - now;
    if (behind <= Duration(0)) {
        return Duration(0);
    }
    if (lag <= kKeepsUpWithin) {
        return behind;
    }
    if (_rate < kStalledRate) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(behind / _rate);
}

Duration CatchUpEstimate::lagAt(TimePoint now) const {
    if (_lag <= kKeepsUpWithin) {
        return _lag;
    }
    // A replica that falls behind is assumed to continue to do so; the progress of one that catches
    // up is extrapolated only for a limited time.
    const Duration since = now - _observedAt;
    const Duration counted = _rate > 1 ? std::min(since, kExtrapolationLimit) : since;
    const auto change = std::chrono::duration_cast<Duration>(counted * (1 - _rate));
    return std::max(Duration(0), _lag + change);
}

}  // namespace coralhoist::pooling
