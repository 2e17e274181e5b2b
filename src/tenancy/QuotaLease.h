/** What one node holds of one tenant's quota. */
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
 * Granted units and the rate at which they are used. A unit is used at most once and before its
 * batch ends; what became of a batch is kept until the leader has been told.
 */
class QuotaLease {
public:
    /** Takes the units of an answer. @param usableUntil by the question to which it answers. */
    void add(const QuotaResponse& answer, TimePoint usableUntil, TimePoint now);

    /** Uses a unit. @return whether there was one. */
    bool takeUnit(TimePoint now);

    /** @return units that can be used now. */
    std::uint32_t units(TimePoint now);

    /** @return units at hand that can still be used at a later moment. */
    std::uint32_t unitsAt(TimePoint moment) const;

    /** @return whole units that will probably be used within the time given. Rounded up, each
     * statement of a caller that comes seldom would take two, of which one ends unused and counts
     * for a window. */
    std::uint32_t unitsAhead(Duration span, TimePoint now) const;

    /** @return what is to be told of batches that ended, with their ages as of now. */
    std::vector<BatchSettlement> settlements(TimePoint now) const;

    /** The leader has been told of these. */
    void forget(const std::vector<BatchSettlement>& told);

    /** @return units that ended unused since the last call. */
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

    /** Those that end first in front. */
    std::deque<Batch> _batches;
    std::deque<Batch> _ended;
    std::uint32_t _unused = 0;
    /** Smoothed units a second that were used, and when that was counted. */
    double _rate = 0;
    TimePoint _ratedAt{};
};

}  // namespace coralhoist::tenancy
