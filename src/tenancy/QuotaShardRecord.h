/** The record of a shard of tenants in the platform's store, which names the nodes that may grant
 * the tenants' quotas. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/StoreOutcome.h"
#include "base/StoreVersion.h"
#include "base/Time.h"

namespace coralhoist::tenancy {

/** One incarnation of a node. */
struct NodeIncarnation {
    NodeName node;
    /** Incarnation identifier, which differs after each start of the node. */
    std::string incarnation;

    /** @return whether it names a node at all. */
    bool exists() const { return !incarnation.empty(); }

    bool operator==(const NodeIncarnation&) const = default;
};

/** State of one tenant in the record, for a new leader that has no copy of the ledger. */
struct RecordedQuota {
    /** Units that counted when the record was written, grouped by how long they would still count:
     * the entry at index i counts for (i + 1) steps at most. */
    std::vector<std::uint32_t> counting;
    /** Most units that the leader may grant under this version of the record. */
    std::uint32_t allowance = 0;

    bool operator==(const RecordedQuota&) const = default;
};

/** State of each tenant in one part of the record. */
using RecordedQuotas = std::map<TenantName, RecordedQuota>;

/** Part of one deputy, a node that grants units where neither the leader nor its standby can be
 * reached. */
struct DeputyPart {
    NodeIncarnation holder;
    /** The deputy may write allowances into its part. Otherwise its units only count until they age
     * out. */
    bool grants = true;
    /** Token of the record version that the holder replaced when it wrote this part. It makes each
     * write of one incarnation distinct, so that a new part is not taken for an earlier one whose
     * lease has expired. */
    std::uint64_t replacedVersion = 0;
    /** Tenants for which units were requested from the deputy. It granted nothing to any other
     * tenant. */
    RecordedQuotas tenants;

    bool operator==(const DeputyPart&) const = default;
};

/** Step of `RecordedQuota::counting`. With 0.5 s, a window and the longest lease need 14 numbers a
 * tenant. */
constexpr Duration kCountingStep = std::chrono::milliseconds(500);

/** One shard's record. The leader rewrites it before its lease ends. Any other node that replaces
 * the leader in the version that it has read leads from then on, and the former leader must have
 * stopped before. */
struct QuotaShardRecord {
    /** Node that grants units. Empty when the former leader has shut down as planned. */
    NodeIncarnation leader;
    /** Node that has a copy of every grant that was ever sent in a response, and may therefore take
     * over at once. Empty when there is none. */
    NodeIncarnation standby;
    /** The leader's part. A tenant that is not listed was granted nothing. */
    RecordedQuotas tenants;
    /** Parts of the tenants' bounds that are assigned to deputies instead of the leader. */
    std::vector<DeputyPart> deputies;
    /** Makes each write of the leader differ, because the store treats a write of identical content
     * as no change. */
    std::uint64_t renewals = 0;
    /** Era of the store in which the record was written. A record of an earlier era may have been
     * followed by claims and parts that the store has lost. */
    std::uint64_t writtenIn = 0;
    /** Version in the store; a version that does not exist when there is no record. */
    StoreVersion version;

    bool operator==(const QuotaShardRecord&) const = default;
};

/** Result of a load. A missing record has a version that does not exist. */
struct LoadedShard {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    QuotaShardRecord record;
};

/** Result of a save. */
struct SavedShard {
    StoreOutcome outcome = StoreOutcome::Unavailable;
    /** Version of the record after a successful save. */
    StoreVersion version;
};

/** Store of shard records. Each callback is called once, later and on the same thread. */
class QuotaShardStore {
public:
    virtual ~QuotaShardStore() = default;

    virtual void load(std::uint32_t shard, std::function<void(const LoadedShard&)> callback) = 0;

    /** Writes the record if the store still holds the version that the record names. */
    virtual void save(std::uint32_t shard, const QuotaShardRecord& record,
                      std::function<void(const SavedShard&)> callback) = 0;
};

/** Number of shards over which tenants are spread. Each shard costs one write call to the store
 * every 2 s while its tenants are active. When a shard loses its leader and its standby at the same
 * time, its share of the tenants is affected. All nodes must use the same number. */
constexpr std::uint32_t kQuotaShards = 16;

/** @return the shard of a tenant. */
std::uint32_t quotaShardOf(const TenantName& tenant);

}  // namespace coralhoist::tenancy
