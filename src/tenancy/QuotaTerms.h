/** Parameters of the bound that all nodes together keep for a tenant. */
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/Time.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** Window of quotas that limit how many units may run in a second. */
constexpr Duration kShortWindow = std::chrono::seconds(1);

/** In any window, all nodes together run at most (rate x window + burst) x (1 + overrun) + slack
 * units of a tenant. */
struct QuotaTerms {
    Duration window = std::chrono::seconds(5);
    double overrun = 0.1;
    double slack = 20;

    /** @return the maximum number of units that may run in any window. */
    std::uint32_t bound(const TenantQuota& quota) const;

    /**
     * @return the default time for which granted units may be used. A unit counts from its grant
     * on, so a tenant that sends exactly its rate and burst has (rate x (window + lease) + burst)
     * units counted. Because the lease is at most the overrun's fraction of the window, this is
     * still within the bound.
     */
    Duration lease() const;

    /** @return the default lease of a quota, which may have its own window. */
    Duration leaseOf(const TenantQuota& quota) const;

    /** @return the window in which the quota's units are counted. */
    Duration windowOf(const TenantQuota& quota) const;

    /** @return the longest window of any quota. Units that are older than it count for no quota. */
    constexpr Duration longestWindow() const { return std::max(window, kShortWindow); }

    bool operator==(const QuotaTerms&) const = default;
};

/**
 * Maximum time for which a unit may be used, whatever was requested. A new leader without its
 * predecessor's ledger counts the units that the predecessor may have granted for this time plus
 * the window.
 */
constexpr Duration kLongestQuotaLease = std::chrono::seconds(2);

}  // namespace coralhoist::tenancy
