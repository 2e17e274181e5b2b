/** Shares one tenant's units among ranks, and remembers whom its leader has told to come back. */
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "base/Time.h"
#include "tenancy/RankTerms.h"

namespace coralhoist::tenancy {

/** What the tenant's bucket holds. */
struct PacedUnits {
    double tokens = 0;
    double capacity = 0;
    /** Tokens a second. */
    double rate = 0;
};

/** Units of one rank that a question wants. */
struct RankedWish {
    std::uint32_t rank = 0;
    /** Units that may wait for a turn. */
    std::uint32_t fresh = 0;
    /** Units whose turn has come. */
    std::uint32_t inTurn = 0;
    /** Units that are of no use later: their callers were refused before. */
    std::uint32_t nowOnly = 0;

    std::uint32_t units() const { return fresh + inTurn + nowOnly; }

    /** @return what is left of the wish when so many units are granted, those in turn first. */
    RankedWish without(std::uint32_t granted) const;
};

/**
 * Answers a tenant that sends more than its quota with requests of several ranks, whose callers
 * come back soon after a refusal. The most urgent rank finds its units: a part of the bucket is
 * kept for the demand that was seen of it, no more than half, so that what is not used goes on to
 * the others. What is put off gets a turn, behind those that have one: within a rank those who came
 * first are served first, and callers learn of a time that holds.
 *
 * A turn is a time and no unit: nothing counts until it is granted. Turns are bounded in number and
 * expire; a leader that is lost loses turns and nothing else.
 */
class UnitTurns {
public:
    /** Fresh units of the rank are asked for. */
    void noteAsked(std::uint32_t rank, std::uint32_t units, TimePoint now);

    /** Units come back in their turn. @return how many of them had one; it is theirs no more. */
    std::uint32_t claim(std::uint32_t rank, std::uint32_t units, TimePoint now);

    /** @return units that the wish may take of the bucket. */
    std::uint32_t grantable(const RankedWish& wish, const PacedUnits& paced, TimePoint now);

    /** @return after which time so much of the wish that is put off will be there. */
    Duration untilGranted(const RankedWish& putOff, const PacedUnits& paced, TimePoint now);

    /** The units may come back at the time given. */
    void promise(std::uint32_t rank, std::uint32_t units, TimePoint due);

    /** @return units of this and more urgent ranks that have a turn. */
    std::uint32_t promisedUpTo(std::uint32_t rank, TimePoint now);

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
    double keptFrom(std::uint32_t rank, const PacedUnits& paced, TimePoint now) const;
    std::uint32_t dueBefore(std::uint32_t rank, TimePoint now);
    double ahead(const RankedWish& wish, const PacedUnits& paced, TimePoint now);

    std::array<Demand, settings::kAdmissionRanks> _demand{};
    /** Those that are due first in front. */
    std::array<std::deque<Turn>, settings::kAdmissionRanks> _turns;
};

}  // namespace coralhoist::tenancy
