#include "tenancy/QuotaTerms.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {

using Seconds = std::chrono::duration<double>;

namespace {

/**
 * Default lease time of units of a short window. Units count for this time in addition to the
 * window, so a longer lease wastes units, and a shorter one causes more requests.
 */
constexpr Duration kShortLease = std::chrono::milliseconds(200);

}  // namespace

std::uint32_t QuotaTerms::bound(const TenantQuota& quota) const {
    if (quota.mostInSecond) {
        return *quota.mostInSecond;
    }
    const double granted = quota.ratePerSecond * Seconds(window).count() + quota.burst;
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(granted * (1 + overrun) + slack)));
}

Duration QuotaTerms::lease() const {
    return std::min(kLongestQuotaLease, std::chrono::duration_cast<Duration>(window * overrun));
}

Duration QuotaTerms::leaseOf(const TenantQuota& quota) const {
    return quota.mostInSecond ? kShortLease : lease();
}

Duration QuotaTerms::windowOf(const TenantQuota& quota) const {
    return quota.mostInSecond ? kShortWindow : window;
}

}  // namespace coralhoist::tenancy
