#include "placement/PolicyChain.h"

#include <algorithm>

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using pooling::PlacedServer;
using pooling::PlacedUnit;
using pooling::PlacementVerdict;

PlacementVerdict stricter(const PlacementVerdict& one, const PlacementVerdict& other) {
    if (one.kind != other.kind) {
        return one.kind > other.kind ? one : other;
    }
    return one.expectedIn >= other.expectedIn ? one : other;
}

}  // namespace

/** Once a policy forbids a unit, the policies after it are not consulted: a policy that grants
 * units of a rate would use them up. */
template <typename Ask>
PlacementVerdict PolicyChain::strictest(const Ask& ask) const {
    PlacementVerdict verdict;
    for (pooling::PlacementPolicy* policy : _policies) {
        verdict = stricter(verdict, ask(*policy));
        if (verdict.isForbidden()) {
            break;
        }
    }
    return verdict;
}

PlacementVerdict PolicyChain::mayBegin(const PlacedUnit& unit, const PlacedServer& server) {
    return strictest(
        [&](pooling::PlacementPolicy& policy) { return policy.mayBegin(unit, server); });
}

PlacementVerdict PolicyChain::mayContinue(const PlacedUnit& unit, const PlacedServer& server) {
    return strictest(
        [&](pooling::PlacementPolicy& policy) { return policy.mayContinue(unit, server); });
}

PlacementVerdict PolicyChain::mayStayIdle(const PlacedUnit& unit, const PlacedServer& server) {
    return strictest(
        [&](pooling::PlacementPolicy& policy) { return policy.mayStayIdle(unit, server); });
}

bool PolicyChain::isClosed(const PlacedServer& server) {
    return std::any_of(_policies.begin(), _policies.end(),
                       [&](pooling::PlacementPolicy* policy) { return policy->isClosed(server); });
}

bool PolicyChain::mayForwardTo(const PlacedUnit& unit, const ZoneName& zone) {
    return std::all_of(_policies.begin(), _policies.end(), [&](pooling::PlacementPolicy* policy) {
        return policy->mayForwardTo(unit, zone);
    });
}

bool PolicyChain::mayLogAnswers(const PlacedUnit& unit) {
    return std::all_of(_policies.begin(), _policies.end(), [&](pooling::PlacementPolicy* policy) {
        return policy->mayLogAnswers(unit);
    });
}

void PolicyChain::noteSent(const PlacedUnit& unit, const PlacedServer& server) {
    for (pooling::PlacementPolicy* policy : _policies) {
        policy->noteSent(unit, server);
    }
}

void PolicyChain::noteServerLost(const GroupName& group, const ServerName& server) {
    for (pooling::PlacementPolicy* policy : _policies) {
        policy->noteServerLost(group, server);
    }
}

void PolicyChain::noteServerOpened(const GroupName& group, const ServerName& server) {
    for (pooling::PlacementPolicy* policy : _policies) {
        policy->noteServerOpened(group, server);
    }
}

LeadSuitability PolicyChain::suitabilityOf(const GroupName& group,
                                           const pooling::ServerAnnouncement& server) const {
    LeadSuitability worst = LeadSuitability::Preferred;
    for (const failover::PrimaryPlacement* placement : _placements) {
        worst = std::max(worst, placement->suitabilityOf(group, server));
    }
    return worst;
}

bool PolicyChain::mustHandOver(const GroupName& group,
                               const pooling::ServerAnnouncement& server) const {
    return std::any_of(_placements.begin(), _placements.end(),
                       [&](const failover::PrimaryPlacement* placement) {
                           return placement->mustHandOver(group, server);
                       });
}

bool PolicyChain::mayMovePrimaries() const {
    return std::any_of(
        _placements.begin(), _placements.end(),
        [](const failover::PrimaryPlacement* placement) { return placement->mayMovePrimaries(); });
}

}  // namespace coralhoist::placement
