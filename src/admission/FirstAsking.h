/** When a caller first asked for what it asks again. */
#pragma once

#include <cstddef>
#include <optional>

#include "base/Time.h"

namespace coralhoist::admission {

/**
 * Answers callers that come back after a refusal with the same statement under another id: a return
 * is queued, and its time counted, from the moment at which they first asked. Kept with the
 * session, so it is bounded by them and ends with them.
 */
class FirstAsking {
public:
    /** @return whether anything that was refused may still be asked again. Cheap: most sessions
     * have nothing, and then what they ask need not be hashed. */
    bool remembers(TimePoint now) const { return now < _until; }

    /**
     * @param statement hash of what is asked.
     * @return when it was first asked; nothing when it is asked for the first time.
     */
    std::optional<TimePoint> of(std::size_t statement, TimePoint now) const {
        const bool known = _statement == statement && now < _until;
        return known ? std::optional<TimePoint>(_firstAt) : std::nullopt;
    }

    /**
     * The statement was refused as not run.
     * @param keptFor time from the first asking on after which a repetition is a new statement.
     */
    void noteRefused(std::size_t statement, TimePoint firstAt, Duration keptFor) {
        _statement = statement;
        _firstAt = firstAt;
        _until = firstAt + keptFor;
    }

    /** A statement of the session has succeeded: what was refused before is no longer asked. */
    void noteSucceeded() { _until = TimePoint{}; }

private:
    std::size_t _statement = 0;
    TimePoint _firstAt{};
    TimePoint _until{};
};

}  // namespace coralhoist::admission
