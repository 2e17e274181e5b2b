/** Which waiting statements of a group are refused, and when their callers should come back. */
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

/** A statement that waits, as far as its admission depends on it. */
struct Applicant {
    SessionId session;
    StatementClass statementClass;
    /** Until then it goes before those that are late. */
    TimePoint onTimeUntil{};
    /** Last moment at which it can be sent and still be answered within its time. */
    TimePoint latestStart{};
    /** What hinders it when that is no queue; of static storage, empty for a queue. */
    std::string_view obstacle;
};

/** A statement that is refused although its time has not passed. */
struct ForecastRefusal {
    SessionId session;
    /** Time until it would have been sent. */
    Duration forecast{0};
    /** Time after which the caller should come back. */
    Duration retryAfter{0};
};

/**
 * Answers an overload of one group: callers wait for as long as an answer can still reach them, and
 * who can't be served within it is told so at once, while there is time to do something else.
 *
 * A statement is refused when its forecast lies behind the last moment at which a sent statement is
 * still answered in time; a part of the timeout that has passed is no reason. A forecast that is
 * wrong by a factor leaves a queue that is shorter or longer by it, and no slot idle: a refusal
 * needs others of the same class that wait.
 */
class AdmissionPolicy {
public:
    /** A statement that waited until now has been sent. */
    void noteStart(const StatementClass& statementClass, Lane lane) {
        _forecast.noteStart(statementClass, lane);
    }

    /** @return whether the waiting statements are to be looked at. Cheap. */
    bool isDue(TimePoint now) const { return now >= _nextLook; }

    /**
     * Looks at all that wait.
     * @param applicants in the order in which they are to be placed.
     * @return those to be refused.
     */
    std::vector<ForecastRefusal> look(TimePoint now, const std::vector<Applicant>& applicants);

    /**
     * @return when a caller should come back that is refused now: the forecast, and one start later
     * than the caller refused before, so that returns come at the pace at which statements start.
     */
    Duration turnAfter(TimePoint now, const StatementClass& statementClass, Duration forecast);

    /** @return the wait of a statement of the class behind all that waited at the last
     * look; zero when that is long ago. */
    Duration waitOfNext(const StatementClass& statementClass, TimePoint now) const;

private:
    WaitForecast _forecast;
    ObstacleTimes _obstacles;
    /** What waited at the last look. */
    std::map<StatementClass, LaneCounts> _waiting;
    TimePoint _nextLook{};
    /** The last turn that a caller was told. */
    TimePoint _lastTurn{};
};

}  // namespace coralhoist::admission
