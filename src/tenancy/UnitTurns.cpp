#include "tenancy/UnitTurns.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;

/** Time constant for smoothing the demand of a rank. */
constexpr Duration kDemandSpan = std::chrono::seconds(1);
/**
 * The bucket reserves the units that more urgent ranks request within this time: their statements
 * arrive in bursts, and find units available while the other ranks wait.
 */
constexpr Duration kReservedFor = milliseconds(250);
/** Maximum fraction of the bucket that is reserved. */
constexpr double kMaxReservedShare = 0.5;
/**
 * An unclaimed turn expires after this time. Callers wait no longer than their objective, and a
 * request takes a few hundred milliseconds on an overloaded machine.
 */
constexpr Duration kTurnLifetime = milliseconds(200);
/**
 * A request for a turn may arrive this much before the turn is due, because times are rounded in
 * transit.
 */
constexpr Duration kEarly = milliseconds(5);
/**
 * Maximum number of turns of one rank. Callers beyond it get the time without a turn, and their
 * retries count as new requests.
 */
constexpr std::size_t kMaxTurns = 1024;
/**
 * Minimum fraction of the rate that is assumed for a rank when its announced time is computed.
 * While more urgent ranks request the whole rate, the turn is far in the future.
 */
constexpr double kMinRateShare = 0.02;

std::uint32_t wholeUnits(double units) {
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(units)));
}

double decayed(double perSecond, Duration age) {
    return perSecond * std::exp(-(Seconds(age) / Seconds(kDemandSpan)));
}

}  // namespace

RankedRequest RankedRequest::without(std::uint32_t granted) const {
    RankedRequest left = *this;
    for (std::uint32_t* part : {&left.inTurn, &left.fresh, &left.immediateOnly}) {
        const std::uint32_t taken = std::min(*part, granted);
        *part -= taken;
        granted -= taken;
    }
    return left;
}

void UnitTurns::noteDemand(std::uint32_t rank, std::uint32_t units, TimePoint now) {
    Demand& demand = _demand[rank];
    demand.perSecond =
        decayed(demand.perSecond, now - demand.at) + units / Seconds(kDemandSpan).count();
    demand.at = now;
}

double UnitTurns::demandBefore(std::uint32_t rank, TimePoint now) const {
    double perSecond = 0;
    for (std::uint32_t urgent = 0; urgent < rank; ++urgent) {
        perSecond += decayed(_demand[urgent].perSecond, now - _demand[urgent].at);
    }
    return perSecond;
}

/** @return the number of units in the bucket that are reserved for more urgent ranks. */
double UnitTurns::reservedUnits(std::uint32_t rank, const PacedUnits& paced, TimePoint now) const {
    return std::min(demandBefore(rank, now) * Seconds(kReservedFor).count(),
                    paced.capacity * kMaxReservedShare);
}

void UnitTurns::expire(TimePoint now) {
    for (std::deque<Turn>& turns : _turns) {
        while (!turns.empty() && turns.front().due + kTurnLifetime <= now) {
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

std::uint32_t UnitTurns::scheduledUpTo(std::uint32_t rank, TimePoint now) {
    expire(now);
    std::uint32_t units = 0;
    for (std::uint32_t other = 0; other <= rank; ++other) {
        for (const Turn& turn : _turns[other]) {
            units += turn.units;
        }
    }
    return units;
}

/** @return the number of units of more urgent ranks whose turn is due. */
std::uint32_t UnitTurns::dueBefore(std::uint32_t rank, TimePoint now) {
    std::uint32_t units = 0;
    for (std::uint32_t urgent = 0; urgent < rank; ++urgent) {
        for (const Turn& turn : _turns[urgent]) {
            units += turn.due <= now ? turn.units : 0;
        }
    }
    return units;
}

/** @return the number of units in the bucket that are kept for other turns and for the demand of
 * more urgent ranks, and that the request therefore can't get. */
double UnitTurns::ahead(const RankedRequest& request, const PacedUnits& paced, TimePoint now) {
    expire(now);
    // The due time of a turn already includes the time that the bucket needs for its reserved part.
    if (request.units() == request.inTurn) {
        return dueBefore(request.rank, now);
    }
    return scheduledUpTo(request.rank, now) + reservedUnits(request.rank, paced, now);
}

std::uint32_t UnitTurns::grantable(const RankedRequest& request, const PacedUnits& paced,
                                   TimePoint now) {
    const RankedRequest inTurn{request.rank, 0, request.inTurn};
    const std::uint32_t first =
        std::min(request.inTurn, wholeUnits(paced.tokens - ahead(inTurn, paced, now)));
    const std::uint32_t others = request.units() - request.inTurn;
    if (others == 0) {
        return first;
    }
    const double left = paced.tokens - first - ahead(request, paced, now);
    return first + std::min(others, wholeUnits(left));
}

Duration UnitTurns::untilGranted(const RankedRequest& putOff, const PacedUnits& paced,
                                 TimePoint now) {
    const double missing = ahead(putOff, paced, now) + putOff.units() - paced.tokens;
    const double pace =
        std::max(paced.rate - demandBefore(putOff.rank, now), paced.rate * kMinRateShare);
    return std::chrono::duration_cast<Duration>(Seconds(std::max(0.0, missing) / pace));
}

void UnitTurns::addTurn(std::uint32_t rank, std::uint32_t units, TimePoint due) {
    std::deque<Turn>& turns = _turns[rank];
    if (turns.size() >= kMaxTurns) {
        return;
    }
    const auto later = std::find_if(turns.begin(), turns.end(),
                                    [due](const Turn& turn) { return turn.due > due; });
    turns.insert(later, {due, units});
}

}  // namespace coralhoist::tenancy
