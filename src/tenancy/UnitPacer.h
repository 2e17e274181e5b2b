/** Spreads a tenant's units over time. */
#pragma once

#include <cstdint>

#include "base/Time.h"
#include "tenancy/QuotaTerms.h"
#include "tenancy/UnitTurns.h"

namespace coralhoist::tenancy {

/**
 * Token bucket. The ledger alone would let a burst of requests use the units of a whole window at
 * once, at the expense of all other tenants on the same servers, and would leave nothing for the
 * rest of the window. No bound depends on the bucket, so it may start full.
 */
class UnitPacer {
public:
    /** @return the number of units that may be granted now. */
    std::uint32_t available(const QuotaTerms& terms, const TenantQuota& quota, TimePoint now);

    /** Removes granted units from the bucket. */
    void take(std::uint32_t units) { _tokens -= units; }

    /** Puts granted units that were not used back into the bucket. */
    void giveBack(std::uint32_t units) { _tokens += units; }

    /** @return the state of the bucket as of the last call of `available`. */
    PacedUnits paced() const { return {_tokens, _capacity, _rate}; }

    /** @return the time after which the given number of units may be granted. */
    Duration untilAvailable(std::uint32_t units) const;

private:
    /** Tokens per second. */
    double _rate = 0;
    double _tokens = 0;
    double _capacity = 0;
    TimePoint _filledAt{};
};

}  // namespace coralhoist::tenancy
