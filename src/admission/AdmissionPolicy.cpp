#include "admission/AdmissionPolicy.h"

#include <algorithm>

namespace coralhoist::admission {
namespace {

/** Interval between two reviews of the queue. To a caller, a refusal that comes this much later is
 * still immediate; a review costs as much as choosing a server for every queued statement. */
constexpr Duration kReviewInterval = std::chrono::milliseconds(10);
/** A review older than this says nothing about the wait of a new statement. */
constexpr Duration kReviewValidFor = std::chrono::milliseconds(150);
/**
 * A statement is refused only when its forecast divided by this factor exceeds the time left.
 * Forecasts may be wrong by that factor, and a wrong refusal costs a caller more than a wrong wait.
 */
constexpr int kForecastTolerance = 2;
/** Minimum retry delay: the time that a statement takes at a fast server. */
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(20);
/** Retry times are spread over no more than this: beyond it callers have given up. */
constexpr Duration kMaxRetrySpread = std::chrono::seconds(1);

Lane laneOf(const QueuedStatement& statement, TimePoint now) {
    return now < statement.onTimeUntil ? Lane::OnTime : Lane::Late;
}

std::size_t& countOf(LaneCounts& counts, Lane lane) {
    return lane == Lane::OnTime ? counts.onTime : counts.late;
}

}  // namespace

std::vector<ForecastRefusal> AdmissionPolicy::review(
    TimePoint now, const std::vector<QueuedStatement>& statements) {
    _nextReview = now + kReviewInterval;
    _waiting.clear();
    for (const QueuedStatement& statement : statements) {
        if (!statement.obstacle.empty()) {
            _obstacles.noteSeen(statement.obstacle, now);
            continue;
        }
        LaneCounts& counts = _waiting[statement.statementClass];
        ++countOf(counts, laneOf(statement, now));
    }
    _obstacles.noteReview(now);
    _forecast.observe(now, _waiting);
    std::map<StatementClass, LaneCounts> ahead;
    std::vector<ForecastRefusal> refusals;
    for (const QueuedStatement& statement : statements) {
        const bool queued = statement.obstacle.empty();
        LaneCounts& before = ahead[statement.statementClass];
        LaneCounts counted = before;
        if (queued && laneOf(statement, now) == Lane::OnTime) {
            // Once this statement is late, it follows the statements that are late already.
            counted.late = _waiting[statement.statementClass].late;
        }
        const std::optional<Duration> wait =
            queued
                ? _forecast.waitOf(statement.statementClass, counted, statement.onTimeUntil - now)
                : _obstacles.untilEnd(statement.obstacle, now);
        if (wait && *wait > Duration(0) &&
            now + *wait / kForecastTolerance > statement.latestStart) {
            refusals.push_back(
                {statement.session, *wait, nextRetryDelay(now, statement.statementClass, *wait)});
            continue;
        }
        if (queued) {
            ++countOf(before, laneOf(statement, now));
        }
    }
    return refusals;
}

Duration AdmissionPolicy::waitOfNewStatement(const StatementClass& statementClass,
                                             TimePoint now) const {
    if (now >= _nextReview + kReviewValidFor) {
        return Duration(0);
    }
    const auto found = _waiting.find(statementClass);
    return _forecast.waitOf(statementClass, found == _waiting.end() ? LaneCounts{} : found->second,
                            Duration(0));
}

Duration AdmissionPolicy::nextRetryDelay(TimePoint now, const StatementClass& statementClass,
                                         Duration forecast) {
    const Duration pace = std::max({_forecast.pace(statementClass, Lane::OnTime),
                                    _forecast.pace(statementClass, Lane::Late), Duration(1)});
    const TimePoint first = now + std::max(forecast, kMinRetryDelay);
    const bool follows = _lastRetryAt >= first && _lastRetryAt + pace <= first + kMaxRetrySpread;
    _lastRetryAt = follows ? _lastRetryAt + pace : first;
    return _lastRetryAt - now;
}

}  // namespace coralhoist::admission
