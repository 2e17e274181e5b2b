/** The account of one tenant's quota at the node that grants units of it. */
#pragma once

#include <cstdint>

#include "base/Time.h"
#include "tenancy/QuotaMessages.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** The bound within which the sum of all nodes must stay: in any window, at most
 * (rate x window + burst) x (1 + overrun) + slack units. */
struct QuotaTerms {
    Duration window = std::chrono::seconds(5);
    double overrun = 0.1;
    double slack = 20;

    /** @return the most units that may run in any window. */
    double bound(const TenantQuota& quota) const;

    /** @return how long a granted unit may be used. A window sees the units that were granted in it
     * and in this time before it: a shorter one leaves more for the rate, at more questions. */
    Duration lease() const;

    /** @return units that an account holds at most. */
    double burst(const TenantQuota& quota) const;

    /**
     * @return units a second that an account is filled with: what is left of the bound, so that
     * burst + rate x (window + lease), and what an account starts with, make up the bound. Granting
     * the bare rate of the quota refused 0.021 of a day's requests in place of 0.016 where one
     * tenant's quota was lowered (one play each).
     */
    double rate(const TenantQuota& quota) const;

    /** @return units with which an account starts: another one may just have granted its burst. */
    double start() const;

    bool operator==(const QuotaTerms&) const = default;
};

/** A token bucket. */
class QuotaAccount {
public:
    /** Starts almost empty: another node may have granted the burst a moment ago. */
    QuotaAccount(const QuotaTerms& terms, TimePoint now);

    /** @return what is granted of the units wanted. */
    QuotaAnswer grant(const TenantQuota& quota, const QuotaQuestion& question, TimePoint now);

    /** Starts anew: the time since the last grant does not count. */
    void reset(TimePoint now);

private:
    QuotaTerms _terms;
    double _units;
    TimePoint _filledAt;
};

}  // namespace coralhoist::tenancy
