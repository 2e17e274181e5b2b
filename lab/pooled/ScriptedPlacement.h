/** Where primaries may stand, as one simulated node believes it. */
#pragma once

#include <cstdint>
#include <set>

#include "failover/PrimaryPlacement.h"

namespace coralhoist::pooled {

/** Servers are named by their ports, which outlast their names. */
struct ScriptedPlacement final : failover::PrimaryPlacement {
    std::set<std::uint16_t> lastResort;
    std::set<std::uint16_t> acceptable;

    failover::LeadSuitability suitabilityOf(
        const GroupName& /*group*/, const pooling::ServerAnnouncement& server) const override {
        if (lastResort.contains(server.address.port)) {
            return failover::LeadSuitability::LastResort;
        }
        return acceptable.contains(server.address.port) ? failover::LeadSuitability::Acceptable
                                                        : failover::LeadSuitability::Preferred;
    }

    bool mustHandOver(const GroupName& group,
                      const pooling::ServerAnnouncement& server) const override {
        return suitabilityOf(group, server) != failover::LeadSuitability::Preferred;
    }

    bool mayMovePrimaries() const override { return !lastResort.empty() || !acceptable.empty(); }
};

}  // namespace coralhoist::pooled
