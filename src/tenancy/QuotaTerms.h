/** The bound that the sum of all nodes keeps for a tenant. */
#pragma once

#include <cstdint>

#include "base/Time.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** In any window, all nodes together run at most (rate x window + burst) x (1 + overrun) + slack
 * units of a tenant. */
struct QuotaTerms {
    Duration window = std::chrono::seconds(5);
    double overrun = 0.1;
    double slack = 20;

    /** @return the most units that may run in any window. */
    std::uint32_t bound(const TenantQuota& quota) const;

    /**
     * @return how long granted units may usually be used. A unit counts from its grant on, so a
     * tenant that sends just its rate and burst has (rate x (window + lease) + burst) units
     * counted; with the overrun's part of the window this is still within the bound.
     */
    Duration lease() const;

    bool operator==(const QuotaTerms&) const = default;
};

/** No unit may be used for longer, whatever was asked for: a new leader without the ledger of the
 * former one counts what that may have granted for this time and the window. */
constexpr Duration kLongestQuotaLease = std::chrono::seconds(2);

}  // namespace coralhoist::tenancy
