#include "tenancy/QuotaAccount.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;

/** Part of a quota's burst that an account holds, and the part of the slack that it holds at least.
 * What is not held is granted as a higher rate. */
constexpr double kBurstHeld = 0.25;
constexpr double kSlackHeld = 0.5;
constexpr double kSlackAtStart = 0.25;
/** Part of the overrun that goes into the time for which units may be used. */
constexpr double kLeaseShare = 0.5;
/** An account is filled with this at least, for quotas of 0. */
constexpr double kLeastRate = 1e-3;
/** A tenant whose account holds less than this part of its capacity uses most of its quota. */
constexpr double kScarceBelow = 0.5;
constexpr Duration kLongestRetry = std::chrono::seconds(1);
constexpr Duration kLongestLease = std::chrono::seconds(1);

}  // namespace

double QuotaTerms::bound(const TenantQuota& quota) const {
    const double granted = quota.ratePerSecond * Seconds(window).count() + quota.burst;
    return granted * (1 + overrun) + slack;
}

Duration QuotaTerms::lease() const {
    return std::min(kLongestLease,
                    std::chrono::duration_cast<Duration>(window * overrun * kLeaseShare));
}

double QuotaTerms::burst(const TenantQuota& quota) const {
    return std::max(quota.burst * kBurstHeld, slack * kSlackHeld);
}

double QuotaTerms::start() const {
    return slack * kSlackAtStart;
}

double QuotaTerms::rate(const TenantQuota& quota) const {
    const double rest = bound(quota) - burst(quota) - start();
    return std::max(rest / Seconds(window + lease()).count(), kLeastRate);
}

QuotaAccount::QuotaAccount(const QuotaTerms& terms, TimePoint now)
    : _terms(terms), _units(terms.start()), _filledAt(now) {}

void QuotaAccount::reset(TimePoint now) {
    _units = std::min(_units, _terms.start());
    _filledAt = now;
}

QuotaAnswer QuotaAccount::grant(const TenantQuota& quota, const QuotaQuestion& question,
                                TimePoint now) {
    const double rate = _terms.rate(quota);
    const double capacity = _terms.burst(quota);
    const double filled = Seconds(now - _filledAt).count() * rate;
    _filledAt = now;
    _units = std::min(_units + filled + question.returned, capacity);
    QuotaAnswer answer;
    answer.granted =
        std::min(question.wanted, static_cast<std::uint32_t>(std::max(0.0, std::floor(_units))));
    _units -= answer.granted;
    answer.scarce = _units < capacity * kScarceBelow;
    const double missing = static_cast<double>(question.wanted - answer.granted);
    if (missing > 0) {
        const auto wait = std::chrono::duration_cast<Duration>(Seconds(missing / rate));
        answer.retryAfter = std::min(wait, kLongestRetry);
    }
    return answer;
}

}  // namespace coralhoist::tenancy
