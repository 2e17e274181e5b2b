/** Units that a leader or deputy may still grant under each version of its shard's record that may
 * be the newest. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaShardRecord.h"
#include "tenancy/RecordParts.h"
#include "tenancy/ShardContext.h"

namespace coralhoist::tenancy {

/** While a write is in flight or its outcome is unknown, the record may be in either version. Each
 * grant is therefore deducted from the allowances of all these versions and may not exceed any of
 * them. */
class RecordAllowances {
public:
    /** @param quotas this node's part of the record that is in force. */
    explicit RecordAllowances(const RecordedQuotas& quotas) : _inForce(allowancesOf(quotas)) {}

    /** @return units that may still be granted to the tenant. */
    std::uint32_t left(const TenantName& tenant) const;

    /** Deducts granted units. */
    void take(const TenantName& tenant, std::uint32_t units);

    /** Called when a write of the record starts. */
    void onSaving(const RecordedQuotas& quotas) { _beingWritten = allowancesOf(quotas); }

    /** Called when the write has ended with the given outcome. */
    void onSaved(StoreOutcome outcome);

private:
    using Allowances = std::map<TenantName, std::uint32_t>;

    static Allowances allowancesOf(const RecordedQuotas& quotas);

    Allowances _inForce;
    std::optional<Allowances> _beingWritten;
    /** Per tenant, the smallest allowance of all versions whose write may still be applied late. */
    std::optional<Allowances> _doubtful;
};

/** @return the units of each tenant that count now, without allowances. */
RecordedQuotas countedQuotas(ShardLedgers& ledgers, TimePoint now);

/** @return the leader's part: the entries that the record gets for all tenants of the shard. */
RecordedQuotas leaderQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now);

/** @return a deputy's part, which lists the tenants that have a ledger because units were requested
 * for them. */
RecordedQuotas deputyQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now);

}  // namespace coralhoist::tenancy
