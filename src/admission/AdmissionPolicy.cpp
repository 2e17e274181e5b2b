#include "admission/AdmissionPolicy.h"

#include <algorithm>

namespace coralhoist::admission {
namespace {

/** Interval between two reviews of the queue. To a caller, a refusal that comes this much later is
 * still immediate; a review costs as much as choosing a server for every queued statement. */
constexpr Duration kLookEvery = std::chrono::milliseconds(10);
/** A review older than this says nothing about the wait of a new statement. */
constexpr Duration kLookTellsFor = std::chrono::milliseconds(150);
/**
 * A statement is refused only when its forecast divided by this factor exceeds the time left.
 * Forecasts may be wrong by that factor, and a wrong refusal costs a caller more than a wrong wait.
 */
constexpr int kForecastTolerance = 2;
/** Minimum retry delay: the time that a statement takes at a fast server. */
constexpr Duration kLeastTurn = std::chrono::milliseconds(20);
/** Retry times are spread over no more than this: beyond it callers have given up. */
constexpr Duration kLongestSpread = std::chrono::seconds(1);

Lane laneOf(const Applicant& applicant, TimePoint now) {
    return now < applicant.onTimeUntil ? Lane::OnTime : Lane::Late;
}

std::size_t& countOf(LaneCounts& counts, Lane lane) {
    return lane == Lane::OnTime ? counts.onTime : counts.late;
}

}  // namespace

std::vector<ForecastRefusal> AdmissionPolicy::look(TimePoint now,
                                                   const std::vector<Applicant>& applicants) {
    _nextLook = now + kLookEvery;
    _waiting.clear();
    for (const Applicant& applicant : applicants) {
        if (!applicant.obstacle.empty()) {
            _obstacles.noteSeen(applicant.obstacle, now);
            continue;
        }
        LaneCounts& counts = _waiting[applicant.statementClass];
        ++countOf(counts, laneOf(applicant, now));
    }
    _obstacles.noteLook(now);
    _forecast.observe(now, _waiting);
    std::map<StatementClass, LaneCounts> ahead;
    std::vector<ForecastRefusal> refusals;
    for (const Applicant& applicant : applicants) {
        const bool queued = applicant.obstacle.empty();
        LaneCounts& before = ahead[applicant.statementClass];
        LaneCounts counted = before;
        if (queued && laneOf(applicant, now) == Lane::OnTime) {
            // Statements that are late already precede this statement once it becomes late itself.
            counted.late = _waiting[applicant.statementClass].late;
        }
        const std::optional<Duration> wait =
            queued
                ? _forecast.waitOf(applicant.statementClass, counted, applicant.onTimeUntil - now)
                : _obstacles.untilEnd(applicant.obstacle, now);
        if (wait && *wait > Duration(0) &&
            now + *wait / kForecastTolerance > applicant.latestStart) {
            refusals.push_back(
                {applicant.session, *wait, turnAfter(now, applicant.statementClass, *wait)});
            continue;
        }
        if (queued) {
            ++countOf(before, laneOf(applicant, now));
        }
    }
    return refusals;
}

Duration AdmissionPolicy::waitOfNext(const StatementClass& statementClass, TimePoint now) const {
    if (now >= _nextLook + kLookTellsFor) {
        return Duration(0);
    }
    const auto found = _waiting.find(statementClass);
    return _forecast.waitOf(statementClass, found == _waiting.end() ? LaneCounts{} : found->second,
                            Duration(0));
}

Duration AdmissionPolicy::turnAfter(TimePoint now, const StatementClass& statementClass,
                                    Duration forecast) {
    const Duration pace = std::max({_forecast.pace(statementClass, Lane::OnTime),
                                    _forecast.pace(statementClass, Lane::Late), Duration(1)});
    const TimePoint first = now + std::max(forecast, kLeastTurn);
    const bool follows = _lastTurn >= first && _lastTurn + pace <= first + kLongestSpread;
    _lastTurn = follows ? _lastTurn + pace : first;
    return _lastTurn - now;
}

}  // namespace coralhoist::admission
