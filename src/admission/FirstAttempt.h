/** Remembers when a caller first sent a statement that it sends again after a refusal. */
#pragma once

#include <cstddef>
#include <optional>

#include "base/Time.h"

namespace coralhoist::admission {

/**
 * Recognises a retry of a refused statement that comes under another id: the retry is queued, and
 * its time counted, from the moment of the first attempt. The record is kept in the session, so the
 * number of records is bounded by the number of sessions and a record ends with its session.
 */
class FirstAttempt {
public:
    /**
     * @return whether a retry of a refused statement can still be recognised. Cheap: most sessions
     * have no such statement, and their statements need not be hashed.
     */
    bool remembers(TimePoint now) const { return now < _until; }

    /**
     * @param statement hash of the statement.
     * @return when the statement was first sent; nothing for a first attempt.
     */
    std::optional<TimePoint> of(std::size_t statement, TimePoint now) const {
        const bool known = _statement == statement && now < _until;
        return known ? std::optional<TimePoint>(_firstAt) : std::nullopt;
    }

    /**
     * Records that the statement was refused without having run.
     * @param keptFor time from the first attempt after which a repetition counts as a new
     *        statement.
     */
    void noteRefused(std::size_t statement, TimePoint firstAt, Duration keptFor) {
        _statement = statement;
        _firstAt = firstAt;
        _until = firstAt + keptFor;
    }

    /** Records that a statement of the session has succeeded: the refused statement is no longer
     * retried. */
    void noteSucceeded() { _until = TimePoint{}; }

private:
    std::size_t _statement = 0;
    TimePoint _firstAt{};
    TimePoint _until{};
};

}  // namespace coralhoist::admission
