#include "pooling/CatchUpEstimate.h"

#include <algorithm>

#include "base/Backoff.h"

namespace coralhoist::pooling {
namespace {

using Seconds = std::chrono::duration<double>;

/** Time over which a rate is counted: shorter, the gaps between commits are taken for rests. */
constexpr Duration kRateSpan = std::chrono::milliseconds(200);
/** Up to this lag a replica is one that keeps up, whatever its last steps were: the floors of
 * callers who accept some staleness are older than that. */
constexpr Duration kKeepsUpWithin = std::chrono::milliseconds(300);
/** Below this rate a replica stands still: a caller's time ends before it has what it lacks. */
constexpr double kStandsStill = 0.2;
/** Above this rate a replica skips what held it up: it has the rest after its usual lag. */
constexpr double kHighestRate = 20;
/** What it lacked when it was last seen it is not expected to have before: a way there and back. */
constexpr Duration kSoonest = std::chrono::milliseconds(10);
/** A rate holds for no longer. */
constexpr Duration kForesight = std::chrono::seconds(1);
/** What was seen longer ago is proved anew by a read: it costs that one a round trip in vain, while
 * a replica that has caught up unseen costs the primary all the reads of that time. */
constexpr Duration kProvedAfter = std::chrono::milliseconds(250);

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
    if (_anchorAt == TimePoint{} || now - _anchorAt > kForesight) {
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
        return mayProbe && now - _observedAt > kProvedAfter ? Duration(0) : *wait;
    }
    return isRefuted(floor) && !mayProbe ? _nextProbe - now : Duration(0);
}

/** @return the time until it has the position, refusals left out. */
std::optional<Duration> CatchUpEstimate::expected(OpTime floor, TimePoint reachedAt,
                                                  TimePoint now) const {
    if (floor <= _position || _observedAt == TimePoint{}) {
        return Duration(0);
    }
    const Duration lag = lagAt(now);
    const Duration behind = std::max(reachedAt + lag, _observedAt + kSoonest) - now;
    if (behind <= Duration(0)) {
        return Duration(0);
    }
    if (lag <= kKeepsUpWithin) {
        return behind;
    }
    if (_rate < kStandsStill) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(behind / _rate);
}

Duration CatchUpEstimate::lagAt(TimePoint now) const {
    if (_lag <= kKeepsUpWithin) {
        return _lag;
    }
    // One that falls behind goes on doing so; one that catches up is foreseen for a while only.
    const Duration since = now - _observedAt;
    const Duration counted = _rate > 1 ? std::min(since, kForesight) : since;
    const auto change = std::chrono::duration_cast<Duration>(counted * (1 - _rate));
    return std::max(Duration(0), _lag + change);
}

}  // namespace coralhoist::pooling
