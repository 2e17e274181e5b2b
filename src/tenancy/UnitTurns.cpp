#include "tenancy/UnitTurns.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/** Time over which the demand of a rank is smoothed. */
constexpr Duration kDemandSpan = std::chrono::seconds(1);
/** The bucket keeps what more urgent ranks ask for in this time: their statements come in bunches,
 * which find their units while the others wait. */
constexpr Duration kKeptFor = milliseconds(250);
/** No more of the bucket is kept than this part. */
constexpr double kMostKept = 0.5;
/** A turn that nobody came back in is forgotten after this time. Callers wait no longer than their
 * objective, and a question takes some hundred milliseconds on a crowded machine. */
constexpr Duration kTurnKept = milliseconds(200);
/** A question for a turn may come so much before it is due: times are rounded on their way. */
constexpr Duration kEarly = milliseconds(5);
/** Most turns of one rank; others are told the time, and come back as new ones. */
constexpr std::size_t kMostTurns = 1024;
/** Part of the rate that a rank gets at least, for the time that it is told: while more urgent
 * ranks ask for all of it, its turn lies far away. */
constexpr double kLeastPace = 0.02;

std::uint32_t wholeUnits(double units) {
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(units)));
}

double faded(double perSecond, Duration age) {
    return perSecond * std::exp(-(Seconds(age) / Seconds(kDemandSpan)));
}

}  // namespace

RankedWish RankedWish::without(std::uint32_t granted) const {
    RankedWish left = *this;
    for (std::uint32_t* part : {&left.inTurn, &left.fresh, &left.nowOnly}) {
        const std::uint32_t taken = std::min(*part, granted);
        *part -= taken;
        granted -= taken;
    }
    return left;
}

void UnitTurns::noteAsked(std::uint32_t rank, std::uint32_t units, TimePoint now) {
    Demand& demand = _demand[rank];
    demand.perSecond =
        faded(demand.perSecond, now - demand.at) + units / Seconds(kDemandSpan).count();
    demand.at = now;
}

double UnitTurns::demandBefore(std::uint32_t rank, TimePoint now) const {
    double perSecond = 0;
    for (std::uint32_t urgent = 0; urgent < rank; ++urgent) {
        perSecond += faded(_demand[urgent].perSecond, now - _demand[urgent].at);
    }
    return perSecond;
}

/** @return units of the bucket that are kept for more urgent ranks. */
double UnitTurns::keptFrom(std::uint32_t rank, const PacedUnits& paced, TimePoint now) const {
    return std::min(demandBefore(rank, now) * Seconds(kKeptFor).count(),
                    paced.capacity * kMostKept);
}

void UnitTurns::expire(TimePoint now) {
    for (std::deque<Turn>& turns : _turns) {
        while (!turns.empty() && turns.front().due + kTurnKept <= now) {
            turns.pop_front();
        }
    }
}

std::uint32_t UnitTurns::claim(std::uint32_t rank, std::uint32_t units, TimePoint now) {
    expire(now);
    std::deque<Turn>& turns = _turns[rank];
    std::uint32_t claimed = 0;
    while (claimed < units && !turns.empty() && turns.front().due <= now + kEarly) {
        const std::uint32_t taken = std::min(units - claimed, turns.front().units);
        claimed += taken;
        turns.front().units -= taken;
        if (turns.front().units == 0) {
            turns.pop_front();
        }
    }
    return claimed;
}

std::uint32_t UnitTurns::promisedUpTo(std::uint32_t rank, TimePoint now) {
    expire(now);
    std::uint32_t units = 0;
    for (std::uint32_t other = 0; other <= rank; ++other) {
        for (const Turn& turn : _turns[other]) {
            units += turn.units;
        }
    }
    return units;
}

/** @return units of more urgent ranks whose turn has come. */
std::uint32_t UnitTurns::dueBefore(std::uint32_t rank, TimePoint now) {
    std::uint32_t units = 0;
    for (std::uint32_t urgent = 0; urgent < rank; ++urgent) {
        for (const Turn& turn : _turns[urgent]) {
            units += turn.due <= now ? turn.units : 0;
        }
    }
    return units;
}

/** @return units of the bucket that are others' before the wish has any. */
double UnitTurns::ahead(const RankedWish& wish, const PacedUnits& paced, TimePoint now) {
    expire(now);
    // The turn was given with the time that the bucket needs to keep its part.
    if (wish.units() == wish.inTurn) {
        return dueBefore(wish.rank, now);
    }
    return promisedUpTo(wish.rank, now) + keptFrom(wish.rank, paced, now);
}

std::uint32_t UnitTurns::grantable(const RankedWish& wish, const PacedUnits& paced, TimePoint now) {
    const RankedWish inTurn{wish.rank, 0, wish.inTurn};
    const std::uint32_t first =
        std::min(wish.inTurn, wholeUnits(paced.tokens - ahead(inTurn, paced, now)));
    const std::uint32_t others = wish.units() - wish.inTurn;
    if (others == 0) {
        return first;
    }
    const double left = paced.tokens - first - ahead(wish, paced, now);
    return first + std::min(others, wholeUnits(left));
}

Duration UnitTurns::untilGranted(const RankedWish& putOff, const PacedUnits& paced, TimePoint now) {
    const double missing = ahead(putOff, paced, now) + putOff.units() - paced.tokens;
    const double pace =
        std::max(paced.rate - demandBefore(putOff.rank, now), paced.rate * kLeastPace);
    return std::chrono::duration_cast<Duration>(Seconds(std::max(0.0, missing) / pace));
}

void UnitTurns::promise(std::uint32_t rank, std::uint32_t units, TimePoint due) {
    std::deque<Turn>& turns = _turns[rank];
    if (turns.size() >= kMostTurns) {
        return;
    }
    const auto later = std::find_if(turns.begin(), turns.end(),
                                    [due](const Turn& turn) { return turn.due > due; });
    turns.insert(later, {due, units});
}

}  // namespace coralhoist::tenancy
