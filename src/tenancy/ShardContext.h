/** State and settings shared by the components of a node that account for one shard. */
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

/** Counters for metrics. */
struct QuotaStatistics {
    /** Units that ran at this node, and units that were granted to it but not used. */
    std::uint64_t ran = 0;
    std::uint64_t unused = 0;
    /** Responses that arrived too late for their units to be used. */
    std::uint64_t lateResponses = 0;
    /** By rank: units that this node granted as leader, units that it deferred to a reserved time
     * slot, and units that it refused without one; then units that were requested again in their
     * time slot, and those of them that were granted. */
    CountersByRank grantedByRank{};
    CountersByRank deferredByRank{};
    CountersByRank refusedByRank{};
    CountersByRank turnsByRank{};
    CountersByRank turnsKeptByRank{};
    /** Requests of this node and of others that were answered as leader, forwarded, or declined. */
    std::uint64_t granted = 0;
    std::uint64_t relayed = 0;
    std::uint64_t declined = 0;
    /** Shards that this node began to lead with a copy of the ledgers, and without one. */
    std::uint64_t ledWithCopy = 0;
    std::uint64_t ledWithoutCopy = 0;
    /** Shards of which this node became a deputy, and units that it granted as a deputy. */
    std::uint64_t deputized = 0;
    std::uint64_t grantedAsDeputy = 0;
    /** Standbys that this node dropped. */
    std::uint64_t standbysLost = 0;
};

/** Context of one shard, shared by all components that handle it. */
struct ShardContext {
    std::uint32_t shard = 0;
    NodeIncarnation self;
    /** Start time of this incarnation of the node. Its previous incarnation granted nothing later.
     */
    TimePoint startedAt{};
    QuotaTerms terms;
    const Clock& clock;
    QuotaCalls& calls;
    QuotaShardStore& store;
    const StoreEra& era;
    QuotaStatistics& statistics;
    /** Number of the newest copy that this incarnation of the node has begun, across all shards. */
    std::uint64_t& lastCopy;
    /** Returns the tenants in force. */
    std::function<const TenantDirectory&()> tenants;
    /** Returns all nodes, including this one, in the order in which they are tried for requests and
     * as standbys. */
    std::function<const std::vector<pooling::ProxyNode>&()> nodes;
    ZoneName zone;
    /** Meaning of ranks in the settings in force; null where ranks don't matter. */
    const RankTerms* ranks = nullptr;

    /** @return the window of a tenant's ledger. A tenant that is not known here gets the longest
     * window. */
    Duration windowOf(const TenantName& tenant) const {
        const Tenant* known = tenants().find(tenant);
        return known == nullptr ? terms.longestWindow() : terms.windowOf(known->quota);
    }
};

/** Duration of a leader's lease, from the start of its last successful renewal. The leader's
 * allowance ends with it. A lease of 6 s outlasts a store outage of 4 s; with 5 s, only an outage
 * of 3 s. */
constexpr Duration kShardLease = std::chrono::seconds(6);
/** Time that other nodes wait for a lease to expire. It exceeds the lease because the clock rates
 * of two nodes may differ by a tenth. */
constexpr Duration kShardLeaseOfOthers = std::chrono::milliseconds(6600);

/** @return the time after the store was restored from an older copy when no grant counts any more
 * that was made under lost claims and parts, including grants by nodes that are cut off from the
 * store. */
constexpr Duration lostGrantsCountFor(const QuotaTerms& terms) {
    return kShardLeaseOfOthers + kLongestQuotaLease + terms.longestWindow();
}

/** @return whether grants may still count that were made under claims which the store has lost. */
inline bool mayLackGrants(const ShardContext& context) {
    return !context.era.isSettled(lostGrantsCountFor(context.terms));
}

/** Longest forwarding path of a request: requesting node, a node that knows the record, the
 * standby, the leader. */
constexpr std::uint32_t kMostQuotaHops = 2;

}  // namespace coralhoist::tenancy
