/** How often each tenant's statements use a group, as observed by this node. */
#pragma once

#include <cmath>
#include <unordered_map>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Exponentially decaying counts: a tenant's activity is the number of its recent statements. */
class TenantActivity {
public:
    void note(const TenantName& tenant, TimePoint now) {
        Count& count = _counts[tenant];
        count.value = faded(count, now) + 1;
        count.at = now;
    }

    /** @return the current activity; 0 for an unknown tenant. */
    double of(const TenantName& tenant, TimePoint now) const {
        const auto found = _counts.find(tenant);
        return found == _counts.end() ? 0 : faded(found->second, now);
    }

private:
    struct Count {
        double value = 0;
        TimePoint at{};
    };

    /** Time constant of the decay of the counts. */
    static constexpr Duration kMemory = std::chrono::seconds(5);

    static double faded(const Count& count, TimePoint now) {
        const std::chrono::duration<double> age = now - count.at;
        return count.value * std::exp(-(age / std::chrono::duration<double>(kMemory)));
    }

    std::unordered_map<TenantName, Count> _counts;
};

}  // namespace coralhoist::pooling
