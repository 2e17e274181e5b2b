/** All policies of a node as one. */
#pragma once

#include <cstddef>
#include <vector>

#include "failover/PrimaryPlacement.h"
#include "pooling/PlacementPolicy.h"

namespace coralhoist::placement {

/**
 * The strictest verdict of all policies counts; of several that defer, the longest wait. Without a
 * policy everything is allowed, and every server suits.
 */
class PolicyChain final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** @param policy outlives the chain. */
    void add(pooling::PlacementPolicy& policy) {
        _policies.insert(_policies.end() - _askedLast, &policy);
    }
    /** The policy is asked after all others, and for nothing that one of them forbids. */
    void addLast(pooling::PlacementPolicy& policy) {
        _policies.push_back(&policy);
        ++_askedLast;
    }
    void add(failover::PrimaryPlacement& placement) { _placements.push_back(&placement); }

    pooling::PlacementVerdict mayBegin(const pooling::PlacedUnit& unit,
                                       const pooling::PlacedServer& server) override;
    pooling::PlacementVerdict mayContinue(const pooling::PlacedUnit& unit,
                                          const pooling::PlacedServer& server) override;
    pooling::PlacementVerdict mayStayIdle(const pooling::PlacedUnit& unit,
                                          const pooling::PlacedServer& server) override;
    bool isClosed(const pooling::PlacedServer& server) override;
    bool mayForwardTo(const pooling::PlacedUnit& unit, const ZoneName& zone) override;
    bool mayLogAnswers(const pooling::PlacedUnit& unit) override;
    void noteSent(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server) override;

    void noteServerLost(const GroupName& group, const ServerName& server) override;
    void noteServerOpened(const GroupName& group, const ServerName& server) override;

    failover::LeadSuitability suitabilityOf(
        const GroupName& group, const pooling::ServerAnnouncement& server) const override;
    bool mustHandOver(const GroupName& group,
                      const pooling::ServerAnnouncement& server) const override;
    bool mayMovePrimaries() const override;

private:
    template <typename Ask>
    pooling::PlacementVerdict strictest(const Ask& ask) const;

    std::vector<pooling::PlacementPolicy*> _policies;
    /** So many at the end were added as last. */
    std::ptrdiff_t _askedLast = 0;
    std::vector<failover::PrimaryPlacement*> _placements;
};

}  // namespace coralhoist::placement
