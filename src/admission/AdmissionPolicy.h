/** Decides which queued statements of a group are refused, and when their callers should retry. */
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "admission/ObstacleTimes.h"
#include "admission/WaitForecast.h"
#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::admission {

/** The properties of a queued statement that its admission depends on. */
struct QueuedStatement {
    SessionId session;
    StatementClass statementClass;
    /** Until this time the statement precedes those that are late. */
    TimePoint onTimeUntil{};
    /** Last moment at which the statement can be sent and still be answered before its timeout. */
    TimePoint latestStart{};
    /** What blocks the statement when that is not the queue; of static storage, empty for a queue.
     */
    std::string_view obstacle;
};

/** A statement that is refused although its timeout has not passed. */
struct ForecastRefusal {
    SessionId session;
    /** Expected time until the statement would have been sent. */
    Duration forecast{0};
    /** Time after which the caller should retry. */
    Duration retryAfter{0};
};

/**
 * Handles an overload of one group: callers wait for as long as an answer can still reach them. A
 * caller that can't be served within that time is refused at once, while it still has time to do
 * something else.
 *
 * A statement is refused when its forecast start lies after the last moment at which a sent
 * statement is still answered in time; that a part of the timeout has passed is no reason to refuse
 * it. A forecast that is wrong by a factor makes the queue shorter or longer by that factor, but
 * leaves no slot idle: a refusal requires other queued statements of the same class.
 */
class AdmissionPolicy {
public:
    /** Records that a queued statement has been sent. */
    void noteStart(const StatementClass& statementClass, Lane lane) {
        _forecast.noteStart(statementClass, lane);
    }

    /** @return whether the queued statements are due for a review. Cheap. */
    bool isReviewDue(TimePoint now) const { return now >= _nextReview; }

    /**
     * Reviews all queued statements.
     * @param statements in the order in which they are to be placed.
     * @return the statements to refuse.
     */
    std::vector<ForecastRefusal> review(TimePoint now,
                                        const std::vector<QueuedStatement>& statements);

    /**
     * @return the time after which a caller that is refused now should retry: the forecast or,
     * within a bounded spread, one start interval after the retry time of the caller refused
     * before, so that retries arrive at the rate at which statements start.
     */
    Duration nextRetryDelay(TimePoint now, const StatementClass& statementClass, Duration forecast);

    /**
     * @return the forecast wait of a statement of the class behind all statements that were queued
     * at the last review; zero when that review is too old.
     */
    Duration waitOfNewStatement(const StatementClass& statementClass, TimePoint now) const;

private:
    WaitForecast _forecast;
    ObstacleTimes _obstacles;
    /** Numbers of statements that were queued at the last review. */
    std::map<StatementClass, LaneCounts> _waiting;
    TimePoint _nextReview{};
    /** The latest retry time that was given to a caller. */
    TimePoint _lastRetryAt{};
};

}  // namespace coralhoist::admission
