/**
 * Distributes one tenant's units among ranks, and tracks the turns that its leader has announced.
 */
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "base/Time.h"
#include "tenancy/RankTerms.h"

namespace coralhoist::tenancy {

/** State of the tenant's token bucket. */
struct PacedUnits {
    double tokens = 0;
    double capacity = 0;
    /** Tokens per second. */
    double rate = 0;
};

/** Units of one rank that a request asks for. */
struct RankedRequest {
    std::uint32_t rank = 0;
    /** Units that may be deferred to a turn. */
    std::uint32_t fresh = 0;
    /** Units whose turn has come. */
    std::uint32_t inTurn = 0;
    /** Units that are of no use later, because their callers were refused before. */
    std::uint32_t immediateOnly = 0;

    std::uint32_t units() const { return fresh + inTurn + immediateOnly; }

    /**
     * @return the remaining request after the given number of units is granted, units in turn
     * first.
     */
    RankedRequest without(std::uint32_t granted) const;
};

/**
 * Schedules the units of a tenant that sends requests of several ranks beyond its quota, whose
 * callers retry soon after a refusal. The most urgent rank finds its units available: a part of the
 * bucket is reserved for the demand observed for that rank, at most half of the bucket, so that
 * unused units go to the other ranks. Deferred units get a turn, behind those that already have
 * one. So within a rank, requests are served in order of arrival, and callers get a time that can
 * be relied on.
 *
 * A turn is only a time, not a unit: nothing counts until it is granted. Turns are limited in
 * number and expire; if a leader is lost, only the turns are lost.
 */
class UnitTurns {
public:
    /** Records demand for units of the rank that have no turn yet. */
    void noteDemand(std::uint32_t rank, std::uint32_t units, TimePoint now);

    /**
     * Claims units whose turn has come.
     * @return the number of units that had a turn. Their turns are used up.
     */
    std::uint32_t claim(std::uint32_t rank, std::uint32_t units, TimePoint now);

    /** @return the number of units that the request may take from the bucket. */
    std::uint32_t grantable(const RankedRequest& request, const PacedUnits& paced, TimePoint now);

    /** @return the time after which the deferred part of the request will be available. */
    Duration untilGranted(const RankedRequest& putOff, const PacedUnits& paced, TimePoint now);

    /** Gives the units a turn at the given time. */
    void addTurn(std::uint32_t rank, std::uint32_t units, TimePoint due);

    /** @return the number of units of this rank and more urgent ones that have a turn. */
    std::uint32_t scheduledUpTo(std::uint32_t rank, TimePoint now);

private:
    struct Turn {
        TimePoint due{};
        std::uint32_t units = 0;
    };
    struct Demand {
        double perSecond = 0;
        TimePoint at{};
    };

    void expire(TimePoint now);
    double demandBefore(std::uint32_t rank, TimePoint now) const;
    double reservedUnits(std::uint32_t rank, const PacedUnits& paced, TimePoint now) const;
    std::uint32_t dueBefore(std::uint32_t rank, TimePoint now);
    double ahead(const RankedRequest& request, const PacedUnits& paced, TimePoint now);

    std::array<Demand, settings::kAdmissionRanks> _demand{};
    /** Ordered by due time, earliest first. */
    std::array<std::deque<Turn>, settings::kAdmissionRanks> _turns;
};

}  // namespace coralhoist::tenancy
