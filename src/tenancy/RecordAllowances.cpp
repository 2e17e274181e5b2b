#include "tenancy/RecordAllowances.h"

#include <algorithm>
#include <utility>

namespace coralhoist::tenancy {
namespace {

/** Part of a tenant's bound that a version of the record allows at least. More makes the record be
 * written less often in a flood, and leaves a new leader without a copy less. */
constexpr double kLeastAllowance = 0.25;
/** A tenant's allowance is so many times what it used in the last window: at the end of 2 s without
 * a renewal it lasts for 4.5 s more, in which the store may be away. */
constexpr double kWindowsAllowed = 1.3;

std::uint32_t unitsIn(const std::map<TenantName, std::uint32_t>& allowances,
                      const TenantName& tenant) {
    const auto found = allowances.find(tenant);
    return found == allowances.end() ? 0 : found->second;
}

void takeFrom(std::map<TenantName, std::uint32_t>& allowances, const TenantName& tenant,
              std::uint32_t units) {
    std::uint32_t& left = allowances[tenant];
    left -= std::min(left, units);
}

/** @return units to allow beyond those that count; no more than the bound leaves. */
std::uint32_t allowanceFor(std::uint32_t counted, std::uint32_t bound) {
    const auto least = static_cast<std::uint32_t>(bound * kLeastAllowance) + 1;
    const std::uint32_t left = bound - std::min(bound, counted);
    const auto wanted = static_cast<std::uint32_t>(counted * kWindowsAllowed);
    return std::clamp(wanted, least, std::max(least, left));
}

}  // namespace

RecordAllowances::Allowances RecordAllowances::allowancesOf(const QuotaShardRecord& record) {
    Allowances allowances;
    for (const auto& [tenant, quota] : record.tenants) {
        allowances[tenant] = quota.allowance;
    }
    return allowances;
}

std::uint32_t RecordAllowances::left(const TenantName& tenant) const {
    std::uint32_t left = unitsIn(_inForce, tenant);
    if (_beingWritten) {
        left = std::min(left, unitsIn(*_beingWritten, tenant));
    }
    if (_doubtful) {
        left = std::min(left, unitsIn(*_doubtful, tenant));
    }
    return left;
}

void RecordAllowances::take(const TenantName& tenant, std::uint32_t units) {
    takeFrom(_inForce, tenant, units);
    if (_beingWritten) {
        takeFrom(*_beingWritten, tenant, units);
    }
    if (_doubtful) {
        takeFrom(*_doubtful, tenant, units);
    }
}

void RecordAllowances::onSaved(StoreOutcome outcome) {
    Allowances written = *std::exchange(_beingWritten, std::nullopt);
    if (outcome == StoreOutcome::Done) {
        // No older version can be written any more.
        _inForce = std::move(written);
        _doubtful.reset();
    } else if (outcome == StoreOutcome::Unknown) {
        if (_doubtful) {
            for (auto& [tenant, units] : written) {
                units = std::min(units, unitsIn(*_doubtful, tenant));
            }
        }
        _doubtful = std::move(written);
    }
}

std::map<TenantName, RecordedQuota> countedQuotas(ShardLedgers& ledgers, TimePoint now) {
    std::map<TenantName, RecordedQuota> quotas;
    for (auto& [name, ledger] : ledgers) {
        if (ledger.counted(now) > 0) {
            quotas[name] = ledger.recorded(now);
        }
    }
    return quotas;
}

std::map<TenantName, RecordedQuota> recordedQuotas(const ShardContext& context,
                                                   ShardLedgers& ledgers, TimePoint now) {
    std::map<TenantName, RecordedQuota> quotas = countedQuotas(ledgers, now);
    for (const auto& [name, tenant] : context.tenants().all()) {
        if (quotaShardOf(name) == context.shard) {
            const auto ledger = ledgers.find(name);
            const std::uint32_t counted = ledger == ledgers.end() ? 0 : ledger->second.counted(now);
            quotas[name].allowance = allowanceFor(counted, context.terms.bound(tenant.quota));
        }
    }
    return quotas;
}

}  // namespace coralhoist::tenancy
