/** The bound that the sum of all nodes keeps for a tenant. */
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/Time.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** Window of quotas that say how many units may run in a second. */
constexpr Duration kShortWindow = std::chrono::seconds(1);

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

    /** @return the same for a quota, which may have a window of its own. */
    Duration leaseOf(const TenantQuota& quota) const;

    /** @return the window in which the quota's units are summed. */
    Duration windowOf(const TenantQuota& quota) const;

    /** @return the longest window of any quota: what counts no longer for it counts for none. */
    constexpr Duration longestWindow() const { return std::max(window, kShortWindow); }

    bool operator==(const QuotaTerms&) const = default;
};

/** No unit may be used for longer, whatever was asked for: a new leader without the ledger of the
 * former one counts what that may have granted for this time and the window. */
constexpr Duration kLongestQuotaLease = std::chrono::seconds(2);

}  // namespace coralhoist::tenancy
