#include "tenancy/UnitPacer.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;

/**
 * Fraction of a quota's burst that may be granted at once; the rest is granted as a higher rate.
 * With the whole burst, 0.025 to 0.031 of a day's requests failed for lack of server slots when a
 * large tenant and all others sent too much at the same time (five simulations), compared with
 * 0.007 before.
 */
constexpr double kBurstAtOnce = 0.25;
/**
 * Fractions of the slack and of a second's rate that may be granted in addition, because nodes
 * request units in advance that they do not use, and return them later. Without the former, a
 * tenant at 0.6 of its rate was refused two of 66 statements in one of 24,000 simulated runs;
 * without the latter, in one of 21.
 */
constexpr double kSlackAtOnce = 0.5;
constexpr double kRateAtOnce = 0.2;
/**
 * For a quota with a short window: the fraction of its units that may be granted at once, and the
 * minimum, which covers the first two statements of a transaction. Units that are granted at once
 * reduce the steady rate.
 */
constexpr double kShortAtOnce = 0.2;
constexpr double kShortLeastAtOnce = 2;
/**
 * A unit counts from its grant until one window after its use. Nodes that request a unit per
 * statement use it within a few milliseconds of its grant; the ledger accounts for units that count
 * for longer. If the whole lease time were used instead, a tenant beyond its limit could not run
 * all units that its rate and burst allow.
 */
constexpr Duration kUsedAfter = std::chrono::milliseconds(100);
/** Minimum number of tokens per second, for quotas of 0. */
constexpr double kLeastRate = 1e-3;

}  // namespace

std::uint32_t UnitPacer::available(const QuotaTerms& terms, const TenantQuota& quota,
                                   TimePoint now) {
    const double atOnce = quota.mostInSecond
                              ? std::max(kShortLeastAtOnce, *quota.mostInSecond * kShortAtOnce)
                              : quota.burst * kBurstAtOnce + quota.ratePerSecond * kRateAtOnce +
                                    terms.slack * kSlackAtOnce;
    _capacity = std::max(1.0, atOnce);
    const double rest = terms.bound(quota) - _capacity;
    _rate = std::max(rest / Seconds(terms.windowOf(quota) + kUsedAfter).count(), kLeastRate);
    const double filled = Seconds(now - _filledAt).count() * _rate;
    _tokens = std::min(_tokens + filled, _capacity);
    _filledAt = now;
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(_tokens)));
}

Duration UnitPacer::untilAvailable(std::uint32_t units) const {
    const double missing = std::max(0.0, units - _tokens);
    return std::chrono::duration_cast<Duration>(Seconds(missing / _rate));
}

}  // namespace coralhoist::tenancy
