/** What the ranks of services mean to tenants' quotas. */
#pragma once

#include <array>
#include <cstdint>

#include "base/Time.h"
#include "pooling/ServiceCatalog.h"

namespace coralhoist::tenancy {

/** A number for each rank. */
using UnitsByRank = std::array<std::uint32_t, settings::kAdmissionRanks>;

/** Counters by rank, for metrics. */
using CountersByRank = std::array<std::uint64_t, settings::kAdmissionRanks>;

/** @return the rank of a service's statements. */
std::uint32_t rankOf(const settings::ServiceSettings& service);

/** Whether ranks matter, and for how long a statement of each may wait for its turn. */
struct RankTerms {
    /** Services have different ranks: where all have the same, units go in order of arrival, and
     * what lies beyond a quota does not wait. */
    bool ranksDiffer = false;
    /** Longest wait that still leaves a statement of the rank in time; 0 where ranks don't matter.
     */
    std::array<Duration, settings::kAdmissionRanks> patience{};

    static RankTerms of(const pooling::ServiceCatalog& catalog);

    bool operator==(const RankTerms&) const = default;
};

}  // namespace coralhoist::tenancy
