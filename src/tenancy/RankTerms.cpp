#include "tenancy/RankTerms.h"

#include <algorithm>
#include <set>

namespace coralhoist::tenancy {
namespace {

/**
 * Fraction of a service's latency objective that a statement may spend waiting for its turn. The
 * rest is for waiting for a server slot and for the round trip to a server.
 */
constexpr double kWaitingShare = 0.5;
/**
 * Maximum wait as a fraction of the service's timeout, because a service may have an objective
 * longer than its timeout.
 */
constexpr double kMaxTimeoutShare = 0.5;

Duration maxTurnWaitOf(const settings::ServiceSettings& service) {
    const auto inTime =
        std::chrono::duration_cast<Duration>(service.latencyObjective * kWaitingShare);
    const auto most =
        std::chrono::duration_cast<Duration>(service.statementTimeout * kMaxTimeoutShare);
    return std::min(inTime, most);
}

}  // namespace

std::uint32_t rankOf(const settings::ServiceSettings& service) {
    return std::min(service.admissionRank(), settings::kAdmissionRanks - 1);
}

RankTerms RankTerms::of(const pooling::ServiceCatalog& catalog) {
    RankTerms terms;
    std::set<std::uint32_t> ranks;
    for (const auto& [name, entry] : catalog.services) {
        const std::uint32_t rank = rankOf(entry.settings);
        const Duration maxTurnWait = maxTurnWaitOf(entry.settings);
        const bool added = ranks.insert(rank).second;
        terms.maxTurnWait[rank] =
            added ? maxTurnWait : std::min(terms.maxTurnWait[rank], maxTurnWait);
    }
    terms.ranksDiffer = ranks.size() > 1;
    if (!terms.ranksDiffer) {
        terms.maxTurnWait = {};
    }
    return terms;
}

}  // namespace coralhoist::tenancy
