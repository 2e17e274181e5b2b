#include "tenancy/RecordAllowances.h"

#include <algorithm>
#include <utility>

namespace coralhoist::tenancy {
namespace {

/** Smallest allowance in a version of the record, as a share of the tenant's bound. A larger value
 * makes the record be written less often under a flood of requests, but leaves less for a new
 * leader without a copy. */
constexpr double kLeastAllowance = 0.25;
/** A tenant's allowance as a multiple of its usage in the last window. After 2 s without a renewal
 * it still lasts for 4.5 s, during which the store may be unavailable. */
constexpr double kWindowsAllowed = 1.3;
/** Allowance in windows for quotas with a short window. With a smaller value, the allowance of each
 * renewal would last for a fraction of a second only. */
constexpr std::uint32_t kShortWindowsAllowed = 5;
/** Units of the bound that the leader leaves free for a deputy's allowance, as a share of the
 * leader's counted units and as far as the leader's own smallest allowance permits. A deputy can
 * use these units until the leader knows of the deputy.
 */
constexpr double kRoomForDeputy = 0.25;
/** Smallest share of the bound that each of two partitions may have while both receive requests. */
constexpr double kLeastShare = 0.25;

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

/** @return the allowance that a holder of a part needs in addition to its counted units. */
std::uint32_t wantedBeyond(std::uint32_t counted, std::uint32_t bound) {
    const auto least = static_cast<std::uint32_t>(bound * kLeastAllowance) + 1;
    return std::max(least, static_cast<std::uint32_t>(counted * kWindowsAllowed));
}

/** @return the allowance of a leader where no other part allows anything. The leader's ledger keeps
 * to the bound. */
std::uint32_t allowanceAlone(std::uint32_t counted, std::uint32_t bound) {
    const auto least = static_cast<std::uint32_t>(bound * kLeastAllowance) + 1;
    const auto kept = static_cast<std::uint32_t>(counted * kRoomForDeputy);
    const std::uint32_t left = bound - std::min(bound, counted + kept);
    return std::min(wantedBeyond(counted, bound), std::max(least, left));
}

/** @return the allowance of one holder beside others, such that all parts together are within the
 * bound. */
std::uint32_t allowanceBeside(std::uint32_t counted, const ForeignUnits& others,
                              std::uint32_t bound) {
    const std::uint32_t left = bound - std::min(bound, counted + others.all());
    std::uint32_t share = bound;
    if (others.shares) {
        const double used = counted + others.counting;
        const double part = used > 0 ? counted / used : kLeastShare;
        share = static_cast<std::uint32_t>(bound * std::clamp(part, kLeastShare, 1 - kLeastShare));
    }
    const std::uint32_t leftOfShare = share - std::min(share, counted);
    return std::min({wantedBeyond(counted, bound), left, leftOfShare});
}

}  // namespace

RecordAllowances::Allowances RecordAllowances::allowancesOf(const RecordedQuotas& quotas) {
    Allowances allowances;
    for (const auto& [tenant, quota] : quotas) {
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

RecordedQuotas countedQuotas(ShardLedgers& ledgers, TimePoint now) {
    RecordedQuotas quotas;
    for (auto& [name, ledger] : ledgers) {
        if (ledger.counted(now) > 0) {
            quotas[name] = ledger.recorded(now);
        }
    }
    return quotas;
}

RecordedQuotas leaderQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now) {
    RecordedQuotas quotas = countedQuotas(ledgers, now);
    for (const auto& [name, tenant] : context.tenants().all()) {
        if (quotaShardOf(name) != context.shard) {
            continue;
        }
        const auto ledger = ledgers.find(name);
        if (tenant.quota.mostInSecond && ledger == ledgers.end()) {
            continue;
        }
        const std::uint32_t counted = ledger == ledgers.end() ? 0 : ledger->second.counted(now);
        const std::uint32_t bound = context.terms.bound(tenant.quota);
        const ForeignUnits others = parts.besidesLeader(name, now);
        const bool isAlone = others.allowed == 0 && !others.shares;
        quotas[name].allowance = !isAlone ? allowanceBeside(counted, others, bound)
                                 : tenant.quota.mostInSecond
                                     ? bound * kShortWindowsAllowed
                                     : allowanceAlone(counted + others.counting, bound);
    }
    return quotas;
}

RecordedQuotas deputyQuotas(const ShardContext& context, const RecordParts& parts,
                            ShardLedgers& ledgers, TimePoint now) {
    RecordedQuotas quotas;
    for (auto& [name, ledger] : ledgers) {
        quotas[name] = ledger.recorded(now);
        const Tenant* tenant = context.tenants().find(name);
        if (tenant != nullptr) {
            const ForeignUnits others = parts.besidesDeputy(context.self, name, now);
            quotas[name].allowance =
                allowanceBeside(ledger.counted(now), others, context.terms.bound(tenant->quota));
        }
    }
    return quotas;
}

}  // namespace coralhoist::tenancy
