/** Effect of services' admission ranks on tenants' quotas. */
#pragma once

#include <array>
#include <cstdint>

#include "base/Time.h"
#include "pooling/ServiceCatalog.h"

namespace coralhoist::tenancy {

/** Number of units for each rank. */
using UnitsByRank = std::array<std::uint32_t, settings::kAdmissionRanks>;

/** Counters by rank, for metrics. */
using CountersByRank = std::array<std::uint64_t, settings::kAdmissionRanks>;

/** @return the admission rank of a service's statements. */
std::uint32_t rankOf(const settings::ServiceSettings& service);

/**
 * Whether services have different ranks, and how long a statement of each rank may wait for its
 * turn.
 */
struct RankTerms {
    /**
     * Whether services have different ranks. If all have the same rank, units are granted in order
     * of arrival, and statements beyond a quota do not wait.
     */
    bool ranksDiffer = false;
    /**
     * Longest wait after which a statement of the rank can still meet its objective; 0 if all
     * services have the same rank.
     */
    std::array<Duration, settings::kAdmissionRanks> maxTurnWait{};

    static RankTerms of(const pooling::ServiceCatalog& catalog);

    bool operator==(const RankTerms&) const = default;
};

}  // namespace coralhoist::tenancy
