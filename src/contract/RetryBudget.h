/** Bounds retries to a fraction of the traffic. */
#pragma once

#include <algorithm>
#include <cstdint>

namespace coralhoist::contract {

/** A token bucket that first attempts fill and retries empty. */
class RetryBudget {
public:
    /**
     * @param percent retries earned by a hundred first attempts.
     * @param burst maximum number of saved retries; the bucket starts full.
     */
    RetryBudget(std::uint32_t percent, std::uint32_t burst)
        : _percent(percent),
          _limit(std::uint64_t{burst} * kTokensPerRetry),
          _tokens(std::uint64_t{burst} * kTokensPerRetry) {}

    void onFirstAttempt() { _tokens = std::min(_limit, _tokens + _percent); }

    /** @return whether a retry is allowed; takes one retry from the budget if so. */
    bool tryRetry() {
        if (_tokens < kTokensPerRetry) {
            return false;
        }
        _tokens -= kTokensPerRetry;
        return true;
    }

private:
    static constexpr std::uint64_t kTokensPerRetry = 100;
    std::uint32_t _percent;
    std::uint64_t _limit;
    std::uint64_t _tokens;
};

}  // namespace coralhoist::contract
