#include "tenancy/QuotaTerms.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {

using Seconds = std::chrono::duration<double>;

std::uint32_t QuotaTerms::bound(const TenantQuota& quota) const {
    const double granted = quota.ratePerSecond * Seconds(window).count() + quota.burst;
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(granted * (1 + overrun) + slack)));
}

Duration QuotaTerms::lease() const {
    return std::min(kLongestQuotaLease, std::chrono::duration_cast<Duration>(window * overrun));
}

}  // namespace coralhoist::tenancy
