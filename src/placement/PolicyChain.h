/** Combines all placement policies of a node into one. */
#pragma once

#include <cstddef>
#include <vector>

#include "failover/PrimaryPlacement.h"
#include "pooling/PlacementPolicy.h"

namespace coralhoist::placement {

/** The strictest verdict of all policies applies; of several that defer, the longest wait. Without
 * a policy everything is allowed, and every server is suitable. */
class PolicyChain final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** @param policy outlives the chain. */
    void add(pooling::PlacementPolicy& policy) {
        _policies.insert(_policies.end() - _lastPolicyCount, &policy);
    }
    /** Adds a policy that is consulted after all others, and not for units that one of them
     * forbids. */
    void addLast(pooling::PlacementPolicy& policy) {
        _policies.push_back(&policy);
        ++_lastPolicyCount;
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
    /** Number of policies at the end of the list that were added with `addLast`. */
    std::ptrdiff_t _lastPolicyCount = 0;
    std::vector<failover::PrimaryPlacement*> _placements;
};

}  // namespace coralhoist::placement
