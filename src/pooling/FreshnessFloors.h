/** Remembers up to which position the log had come at moments of the recent past. */
#pragma once

#include <deque>
#include <optional>

#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * Samples of a primary's position. A sample (t, p) says: every commit that was acknowledged before
 * t is at or below p. So a read that may miss commits younger than its staleness needs a sample
 * that is not older than that, and the lowest such position is enough.
 */
class FreshnessFloors {
public:
    /** Takes a sample. @param askedAt when the statement that brought the position was sent. */
    void add(TimePoint askedAt, OpTime position);

    /** @return the lowest position that covers all commits acknowledged before `since`. */
    std::optional<OpTime> covering(TimePoint since) const;

    /** @return since when the log is known to have had the position; none when it is not. */
    std::optional<TimePoint> reachedAt(OpTime position) const;

    /** @return the time since the log went beyond the position; zero when it is not known to. */
    Duration lagOf(OpTime position, TimePoint now) const;

    /** Drops samples that no read needs any more. */
    void dropBefore(TimePoint time);

    /** @return whether samples are held that dropBefore drops one day. */
    bool mayDrop() const { return _samples.size() > 1; }

    void clear() { _samples.clear(); }

private:
    /** Samples closer together than this are not kept apart. */
    static constexpr Duration kSpacing = std::chrono::milliseconds(20);

    struct Sample {
        TimePoint askedAt;
        OpTime position;
    };
    std::deque<Sample> _samples;
};

}  // namespace coralhoist::pooling
