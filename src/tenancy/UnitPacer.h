/** Spreads the units of one tenant over time. */
#pragma once

#include <cstdint>

#include "base/Time.h"
#include "tenancy/QuotaTerms.h"
#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {

/**
 * A token bucket. The ledger alone would let a flood run the units of a whole window at once, at
 * the cost of all others on the same servers, and nothing for the rest of the window. No bound
 * rests on the bucket: it may start full.
 */
class UnitPacer {
public:
    /** @return units that may be granted now. */
    std::uint32_t available(const QuotaTerms& terms, const TenantQuota& quota, TimePoint now);

    /** Takes units that were granted. */
    void take(std::uint32_t units) { _tokens -= units; }

    /** Takes back units that did not run. */
    void giveBack(std::uint32_t units) { _tokens += units; }

    /** @return what the bucket holds, as of the last call of `available`. */
    PacedUnits paced() const { return {_tokens, _capacity, _rate}; }

    /** @return after which time so many units may be granted. */
    Duration untilAvailable(std::uint32_t units) const;

private:
    /** Tokens a second. */
    double _rate = 0;
    double _tokens = 0;
    double _capacity = 0;
    TimePoint _filledAt{};
};

}  // namespace coralhoist::tenancy
