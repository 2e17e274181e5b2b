#include "admission/WaitForecast.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::admission {
namespace {

/** Time constant after which an observation has decayed to about a third. It is as long as common
 * timeouts, so that waits of that length can be forecast, and no longer than a burst. */
constexpr Duration kFading = std::chrono::seconds(2);
/** Starts assumed in addition to those seen: as many as may be missed by chance, so that a lane in
 * which no statement has started yet does not count as blocked. */
constexpr double kAssumedStarts = 3;
/** When two reviews are further apart than this, no statement is assumed to have waited throughout.
 */
constexpr Duration kLongestGap = std::chrono::milliseconds(150);
/** An observation shorter than this says nothing about waits and is removed. */
constexpr Duration kMinObservation = std::chrono::milliseconds(2);

}  // namespace

void WaitForecast::noteStart(const StatementClass& statementClass, Lane lane) {
    const auto found = _observations.find({statementClass, lane});
    if (found != _observations.end()) {
        ++found->second.newStarts;
    }
}

void WaitForecast::observe(TimePoint now, const std::map<StatementClass, LaneCounts>& waiting) {
    const Duration span = _observedAt ? now - *_observedAt : Duration(0);
    _observedAt = now;
    for (const auto& [statementClass, counts] : waiting) {
        if (counts.onTime > 0) {
            _observations.try_emplace({statementClass, Lane::OnTime});
        }
        if (counts.late > 0) {
            _observations.try_emplace({statementClass, Lane::Late});
        }
    }
    for (auto& [key, observation] : _observations) {
        const auto found = waiting.find(key.first);
        const LaneCounts counts = found == waiting.end() ? LaneCounts{} : found->second;
        const std::size_t count = key.second == Lane::OnTime ? counts.onTime : counts.late;
        update(observation, span, count > 0);
    }
    std::erase_if(_observations, [](const auto& entry) {
        return !entry.second.waiting && entry.second.watched < kMinObservation;
    });
}

void WaitForecast::update(Observation& observation, Duration span, bool waiting) const {
    const double kept =
        std::exp(-std::chrono::duration<double>(span) / std::chrono::duration<double>(kFading));
    observation.watched = std::chrono::duration_cast<Duration>(observation.watched * kept);
    observation.starts *= kept;
    if (observation.waiting && span <= kLongestGap) {
        observation.watched += span;
        observation.starts += observation.newStarts;
    }
    observation.newStarts = 0;
    observation.waiting = waiting;
}

Duration WaitForecast::pace(const StatementClass& statementClass, Lane lane) const {
    const auto found = _observations.find({statementClass, lane});
    if (found == _observations.end()) {
        return Duration(0);
    }
    const Observation& observation = found->second;
    return std::chrono::duration_cast<Duration>(observation.watched /
                                                (observation.starts + kAssumedStarts));
}

Duration WaitForecast::waitOf(const StatementClass& statementClass, const LaneCounts& ahead,
                              Duration onTimeLeft) const {
    if (onTimeLeft > Duration(0)) {
        const Duration wait = pace(statementClass, Lane::OnTime) * (ahead.onTime + 1);
        if (wait < onTimeLeft) {
            return wait;
        }
    }
    return std::max(onTimeLeft, Duration(0)) + pace(statementClass, Lane::Late) * (ahead.late + 1);
}

}  // namespace coralhoist::admission
