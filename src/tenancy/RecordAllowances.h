/** What a leader or deputy may still grant under each version of its shard's record that may be the
 * newest.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaShardRecord.h"
#include "tenancy/RecordParts.h"
#include "tenancy/ShardContext.h"

namespace coralhoist::tenancy {

/**
 * While a writing is under way, or was not answered, the record may be either version. So a grant
 * is taken from the allowances of all of them, and may not exceed any.
 */
class RecordAllowances {
public:
    /** @param quotas the part of this node in the record that is in force. */
    explicit RecordAllowances(const RecordedQuotas& quotas) : _inForce(allowancesOf(quotas)) {}

    /** @return units of the tenant that may still be granted. */
    std::uint32_t left(const TenantName& tenant) const;

    /** Units were granted. */
    void take(const TenantName& tenant, std::uint32_t units);

    /** The record is being written. */
    void onSaving(const RecordedQuotas& quotas) { _beingWritten = allowancesOf(quotas); }

    /** The writing ended as given. */
    void onSaved(StoreOutcome outcome);

private:
    using Allowances = std::map<TenantName, std::uint32_t>;

    static Allowances allowancesOf(const RecordedQuotas& quotas);

    Allowances _inForce;
    std::optional<Allowances> _beingWritten;
    /** The smallest of all versions that may still be written late. */
    std::optional<Allowances> _doubtful;
};

/** @return what counts of each tenant now, without allowances. */
RecordedQuotas countedQuotas(ShardLedgers& ledgers, TimePoint now);

/** @return the leader's part: what the record is to say of all tenants of the shard. */
RecordedQuotas leaderQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now);

/** @return a deputy's part: the tenants that it was asked for, which have a ledger. */
RecordedQuotas deputyQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now);

}  // namespace coralhoist::tenancy
