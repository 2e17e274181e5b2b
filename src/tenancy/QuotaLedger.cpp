#include "tenancy/QuotaLedger.h"

#include <algorithm>

#include "tenancy/QuotaTerms.h"

namespace coralhoist::tenancy {

void QuotaLedger::remove(std::map<BatchId, Batch>::iterator batch) {
    _units -= batch->second.units;
    _ends.erase({batch->second.usableUntil, batch->first});
    _batches.erase(batch);
}

std::uint32_t QuotaLedger::counted(TimePoint now) {
    while (!_ends.empty() && _ends.begin()->first + _window < now) {
        remove(_batches.find(_ends.begin()->second));
    }
    return _units;
}

void QuotaLedger::add(const BatchId& batch, std::uint32_t units, TimePoint usableUntil) {
    if (units > 0 && _batches.try_emplace(batch, Batch{units, usableUntil}).second) {
        _ends.insert({usableUntil, batch});
        _units += units;
    }
}

std::uint32_t QuotaLedger::settle(const BatchSettlement& settlement, TimePoint now) {
    const auto found = _batches.find(settlement.batch);
    if (found == _batches.end()) {
        return 0;
    }
    // The age was measured when the message was sent. Its transit time makes the last use earlier
    // than this estimate, so the estimate is safe.
    const TimePoint lastUse = std::min(found->second.usableUntil, now - settlement.lastUseAge);
    const std::uint32_t granted = found->second.units;
    const std::uint32_t used = std::min(granted, settlement.used);
    remove(found);
    add(settlement.batch, used, lastUse);
    return granted - used;
}

Duration QuotaLedger::untilFreed(std::uint32_t units, TimePoint now) const {
    std::uint32_t freed = 0;
    for (const auto& [usableUntil, batch] : _ends) {
        freed += _batches.at(batch).units;
        if (freed >= units) {
            return std::max(Duration(0), usableUntil + _window - now);
        }
    }
    return _window;
}

RecordedQuota QuotaLedger::recorded(TimePoint now) {
    RecordedQuota quota;
    counted(now);
    for (const auto& [id, batch] : _batches) {
        const Duration counts = std::max(Duration(0), batch.usableUntil + _window - now);
        const auto index = static_cast<std::size_t>(counts / kCountingStep);
        if (quota.counting.size() <= index) {
            quota.counting.resize(index + 1);
        }
        quota.counting[index] += batch.units;
    }
    return quota;
}

void QuotaLedger::inherit(const RecordedQuota& quota, TimePoint writtenBy, TimePoint stoppedBy) {
    // Inherited units get term 0, because no request settles a batch of term 0.
    std::uint64_t number = 0;
    for (std::size_t index = 0; index < quota.counting.size(); ++index) {
        const TimePoint countsUntil = writtenBy + kCountingStep * (index + 1);
        add({0, ++number}, quota.counting[index], countsUntil - _window);
    }
    add({0, ++number}, quota.allowance, stoppedBy + kLongestQuotaLease);
}

void QuotaLedger::copyTo(std::vector<CopiedBatch>& list, const TenantName& tenant, TimePoint now) {
    counted(now);
    for (const auto& [id, batch] : _batches) {
        list.push_back({tenant, id, batch.units, batch.usableUntil - now});
    }
}

}  // namespace coralhoist::tenancy
