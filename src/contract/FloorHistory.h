/** Recent read floors, for reads that accept bounded staleness. */
#pragma once

#include <deque>
#include <optional>

#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::contract {

/**
 * Records which read floor was valid at which time.
 *
 * A read that accepts a staleness of s uses the oldest floor that is not older than now - s: a
 * server that covers this floor shows everything acknowledged up to that time and is therefore at
 * most s stale. A server whose lag is unknown is verified by the guard query like any other server.
 */
class FloorHistory {
public:
    /**
     * @param moment when the sample was requested; the floor covers all writes acknowledged by
     * then.
     */
    void add(TimePoint moment, const OpTime& floor);

    /**
     * @return a floor that covers everything acknowledged by now - staleness; empty when none is
     *         known.
     */
    std::optional<OpTime> floorWithin(Duration staleness, TimePoint now) const;

    /** @return the latest time whose floor is covered by the replayed point. */
    std::optional<TimePoint> caughtUpAt(const OpTime& replayed) const;

private:
    struct Entry {
        TimePoint moment;
        OpTime floor;
    };
    std::deque<Entry> _entries;
};

}  // namespace coralhoist::contract
