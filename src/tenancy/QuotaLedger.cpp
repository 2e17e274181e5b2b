#include "tenancy/QuotaLedger.h"

#include <algorithm>

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
    if (_batches.try_emplace(batch, Batch{units, usableUntil}).second) {
        _ends.insert({usableUntil, batch});
        _units += units;
    }
}

void QuotaLedger::settle(const BatchSettlement& settlement, TimePoint now) {
    const auto found = _batches.find(settlement.batch);
    if (found == _batches.end()) {
        return;
    }
    // The message took its time, so the last use was before this.
    const TimePoint lastUse = std::min(found->second.usableUntil, now - settlement.lastUseAge);
    const std::uint32_t used = std::min(found->second.units, settlement.used);
    remove(found);
    if (used > 0) {
        add(settlement.batch, used, lastUse);
    }
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

void QuotaLedger::copyTo(std::vector<CopiedBatch>& list, const TenantName& tenant, TimePoint now) {
    counted(now);
    for (const auto& [id, batch] : _batches) {
        list.push_back({tenant, id, batch.units, batch.usableUntil - now});
    }
}

}  // namespace coralhoist::tenancy
