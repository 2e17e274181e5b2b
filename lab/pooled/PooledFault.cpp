#include "lab/pooled/PooledFault.h"

#include <algorithm>

namespace coralhoist::pooled {
namespace {

/** @return the singles from `least` to `end`, and the pairs of those before `end` with them. */
std::vector<std::vector<PooledFault>> plansOf(std::size_t least, std::size_t end) {
    std::vector<std::vector<PooledFault>> plans;
    for (std::size_t first = 0; first < end; ++first) {
        if (first >= least) {
            plans.push_back({static_cast<PooledFault>(first)});
        }
        for (std::size_t second = std::max(first, least); second < end; ++second) {
            plans.push_back({static_cast<PooledFault>(first), static_cast<PooledFault>(second)});
        }
    }
    return plans;
}

}  // namespace

std::vector<std::vector<PooledFault>> allPooledFaultPlans() {
    return plansOf(0, kFirstServerFault);
}

std::vector<std::vector<PooledFault>> serverFaultPlans() {
    return plansOf(kFirstServerFault, kPooledFaultCount);
}

std::vector<std::vector<PooledFault>> storeReturnPlans() {
    constexpr PooledFault kReturn = PooledFault::StoreReturnsOlder;
    std::vector<std::vector<PooledFault>> plans{
        {kReturn}, {kReturn, kReturn}, {kReturn, kReturn, kReturn}};
    for (std::size_t index = 0; index < kPooledFaultCount; ++index) {
        const auto other = static_cast<PooledFault>(index);
        plans.push_back({kReturn, other});
        plans.push_back({kReturn, other, kReturn});
    }
    return plans;
}

std::vector<std::vector<PooledFault>> misplacedPlans() {
    constexpr PooledFault kMisplaced = PooledFault::PrimaryMisplaced;
    std::vector<std::vector<PooledFault>> plans{{kMisplaced}, {kMisplaced, kMisplaced}};
    for (std::size_t index = 0; index < static_cast<std::size_t>(kMisplaced); ++index) {
        const auto other = static_cast<PooledFault>(index);
        plans.push_back({kMisplaced, other});
        plans.push_back({kMisplaced, other, kMisplaced});
    }
    return plans;
}

std::vector<std::vector<PooledFault>> serviceMovePlans() {
    constexpr PooledFault kMove = PooledFault::ServicesMove;
    std::vector<std::vector<PooledFault>> plans{{kMove}, {kMove, kMove}};
    for (std::size_t index = 0; index < kPooledFaultCount; ++index) {
        plans.push_back({kMove, static_cast<PooledFault>(index)});
    }
    // A replica that lags while other faults stand shows most of what a session has lost.
    for (std::size_t index = 0; index < kFirstServerFault; ++index) {
        plans.push_back({kMove, PooledFault::ReplicaLags, static_cast<PooledFault>(index)});
    }
    return plans;
}

std::vector<std::vector<PooledFault>> crowdedPromotionPlans() {
    std::vector<std::vector<PooledFault>> plans;
    for (const PooledFault fault :
         {PooledFault::PrimaryCrashes, PooledFault::PrimaryCutFromReplicas,
          PooledFault::PrimaryCutFromSomeNodes, PooledFault::PrimaryCutFromAllNodes,
          PooledFault::PrimaryLeaves, PooledFault::NodesCutFromServers,
          PooledFault::OldPrimaryLeadsOn, PooledFault::ServerRenamed,
          PooledFault::PromotionCallTroubled}) {
        plans.push_back({PooledFault::ServersCrowded, PooledFault::ReplicaDeaf, fault});
    }
    return plans;
}

}  // namespace coralhoist::pooled
