/** What the parts of a node that account for one shard share. */
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/StoreEra.h"
#include "base/Time.h"
#include "pooling/ExecutorPlacement.h"
#include "tenancy/QuotaCalls.h"
#include "tenancy/QuotaShardRecord.h"
#include "tenancy/QuotaTerms.h"
#include "tenancy/RankTerms.h"
#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {

/** Counters, for metrics. */
struct QuotaStatistics {
    /** Units that ran at this node, and granted ones that it did not use. */
    std::uint64_t ran = 0;
    std::uint64_t unused = 0;
    /** Answers that came too late for their units to be used. */
    std::uint64_t lateAnswers = 0;
    /** By rank: units that this node granted as leader, put off to a turn, or put off without one;
     * and units that came back in their turn, and those of them that were granted. */
    CountersByRank grantedByRank{};
    CountersByRank putOffByRank{};
    CountersByRank turnedAwayByRank{};
    CountersByRank turnsByRank{};
    CountersByRank turnsKeptByRank{};
    /** Questions of other nodes and of this one that were answered as leader, handed on, declined.
     */
    std::uint64_t granted = 0;
    std::uint64_t relayed = 0;
    std::uint64_t declined = 0;
    /** Shards that this node began to lead with a copy of their ledgers, and without one. */
    std::uint64_t ledWithCopy = 0;
    std::uint64_t ledWithoutCopy = 0;
    /** Shards of which this node began to be a deputy, and units that it granted as such. */
    std::uint64_t deputized = 0;
    std::uint64_t grantedAsDeputy = 0;
    /** Standbys that this node gave up. */
    std::uint64_t standbysLost = 0;
};

/** One shard, as all its parts see it. */
struct ShardContext {
    std::uint32_t shard = 0;
    NodeLife self;
    /** When this life of the node began; its former one granted nothing later. */
    TimePoint startedAt{};
    QuotaTerms terms;
    const Clock& clock;
    QuotaCalls& calls;
    QuotaShardStore& store;
    const StoreEra& era;
    QuotaStatistics& statistics;
    /** The newest number of a copy that this life of the node has begun, of any shard. */
    std::uint64_t& lastCopy;
    /** @return the tenants in force. */
    std::function<const TenantDirectory&()> tenants;
    /** @return all nodes, this one included, in the order in which they are asked or copied to. */
    std::function<const std::vector<pooling::ProxyNode>&()> nodes;
    ZoneName zone;
    /** What ranks mean in the settings in force; null where they don't matter. */
    const RankTerms* ranks = nullptr;

    /** @return the window of a tenant's ledger. What is not known here counts the longest. */
    Duration windowOf(const TenantName& tenant) const {
        const Tenant* known = tenants().find(tenant);
        return known == nullptr ? terms.longestWindow() : terms.windowOf(known->quota);
    }
};

/** Units that a leader may grant beyond what counts end with this time after its last renewal was
 * begun. It outlasts an outage of the store of 4 s; with 5 s in place of 6 it is 3 s. */
constexpr Duration kShardLease = std::chrono::seconds(6);
/** Others wait for this time: clocks of two nodes may differ by a tenth in their pace. */
constexpr Duration kShardLeaseOfOthers = std::chrono::milliseconds(6600);

/** @return the time after a return of the store when nothing counts any more that was granted under
 * claims and parts that it has lost, by nodes that are cut off from it, too. */
constexpr Duration lostGrantsCountFor(const QuotaTerms& terms) {
    return kShardLeaseOfOthers + kLongestQuotaLease + terms.longestWindow();
}

/** @return whether grants may count that were made under claims which the store has lost. */
inline bool mayLackGrants(const ShardContext& context) {
    return !context.era.isSettled(lostGrantsCountFor(context.terms));
}

/** Asking node, a node that knows the record, the standby, the leader. */
constexpr std::uint32_t kMostQuotaHops = 2;

}  // namespace coralhoist::tenancy
