/** Records which position the log had reached at points in the recent past. */
#pragma once

#include <deque>
#include <optional>

#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * Samples of a primary's position. A sample (t, p) states that every commit which was acknowledged
 * before t is at or below p. A read that may miss commits within its staleness bound therefore
 * needs a sample that is not older than the bound; the lowest position of such samples is
 * sufficient.
 */
class FreshnessFloors {
public:
    /** Adds a sample. @param askedAt when the statement that returned the position was sent. */
    void add(TimePoint askedAt, OpTime position);

    /** @return the lowest sampled position that covers all commits acknowledged before `since`. */
    std::optional<OpTime> covering(TimePoint since) const;

    /** @return the time by which the log is known to have had the position; nothing when it is not
     * known. */
    std::optional<TimePoint> reachedAt(OpTime position) const;

    /** @return the time since the log went beyond the position; zero when it is not known to have
     * done so. */
    Duration lagOf(OpTime position, TimePoint now) const;

    /** Drops samples that are no longer needed by any read. */
    void dropBefore(TimePoint time);

    /** @return whether there are samples that a later dropBefore() can drop. */
    bool mayDrop() const { return _samples.size() > 1; }

    void clear() { _samples.clear(); }

private:
    /** A sample that follows the previous one within this time is dropped. */
    static constexpr Duration kSpacing = std::chrono::milliseconds(20);

    struct Sample {
        TimePoint askedAt;
        OpTime position;
    };
    std::deque<Sample> _samples;
};

}  // namespace coralhoist::pooling
