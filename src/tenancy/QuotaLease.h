/** Units of one tenant's quota that one node holds. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/**
 * Granted units and the rate at which they are used. A unit is used at most once, and before its
 * batch expires. The usage of a batch is kept until it has been reported to the leader.
 */
class QuotaLease {
public:
    /**
     * Adds the units of a response.
     * @param usableUntil expiry time, computed from the time of the request.
     */
    void add(const QuotaResponse& answer, TimePoint usableUntil, TimePoint now);

    /**
     * Uses a unit.
     * @return whether there was one.
     */
    bool takeUnit(TimePoint now);

    /** @return the number of units that are usable now. */
    std::uint32_t units(TimePoint now);

    /** @return the number of held units that are still usable at the given later time. */
    std::uint32_t unitsAt(TimePoint moment) const;

    /**
     * @return the number of whole units that will probably be used within the given time. The
     * number is rounded down: if it were rounded up, each statement of an infrequent caller would
     * take two units, one of which would expire unused and count for a window.
     */
    std::uint32_t unitsAhead(Duration span, TimePoint now) const;

    /**
     * @return the settlements of expired or used-up batches to report, with their ages as of `now`.
     */
    std::vector<BatchSettlement> settlements(TimePoint now) const;

    /** Removes settlements that have been reported to the leader. */
    void forget(const std::vector<BatchSettlement>& reported);

    /** @return the number of units that expired unused since the last call. */
    std::uint32_t takeUnused() { return std::exchange(_unused, 0); }

private:
    struct Batch {
        BatchId id;
        std::uint32_t left = 0;
        std::uint32_t used = 0;
        TimePoint usableUntil{};
        TimePoint lastUse{};
    };

    void end(const Batch& batch);
    void expire(TimePoint now);

    /** Ordered by expiry time, earliest first. */
    std::deque<Batch> _batches;
    std::deque<Batch> _ended;
    std::uint32_t _unused = 0;
    /** Smoothed number of units used per second, and the time of its last update. */
    double _rate = 0;
    TimePoint _ratedAt{};
};

}  // namespace coralhoist::tenancy
