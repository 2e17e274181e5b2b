#include "lab/soak/QuotaJudge.h"

#include <algorithm>

namespace coralhoist::soak {

void QuotaJudge::onSent(const std::string& statement, const TenantName& tenant,
                        std::uint64_t unit) {
    _units.try_emplace(unit, Unit{tenant, _clock.now(), {}, false});
    _unitOf[statement] = unit;
}

void QuotaJudge::onArrived(const std::string& statement) {
    if (_unitOf.contains(statement)) {
        _arrived.try_emplace(statement, _clock.now());
    }
}

void QuotaJudge::onRan(const std::string& statement) {
    const auto arrived = _arrived.find(statement);
    if (arrived == _arrived.end()) {
        return;
    }
    Unit& unit = _units.at(_unitOf.at(statement));
    if (!unit.ran) {
        unit.ran = true;
        unit.arrivedAt = arrived->second;
    }
}

std::size_t QuotaJudge::busiestWindow(const TenantName& tenant) const {
    std::vector<Unit> ran;
    for (const auto& [number, unit] : _units) {
        if (unit.ran && unit.tenant == tenant) {
            ran.push_back(unit);
        }
    }
    std::size_t busiest = 0;
    for (const Unit& first : ran) {
        const TimePoint end = first.sentAt + _terms.window;
        const auto within = [&first, end](const Unit& unit) {
            return unit.sentAt >= first.sentAt && unit.arrivedAt <= end;
        };
        busiest = std::max(busiest,
                           static_cast<std::size_t>(std::count_if(ran.begin(), ran.end(), within)));
    }
    return busiest;
}

std::vector<std::string> QuotaJudge::violations(
    const std::map<TenantName, tenancy::TenantQuota>& quotas) const {
    std::vector<std::string> result;
    for (const auto& [tenant, quota] : quotas) {
        const std::size_t busiest = busiestWindow(tenant);
        const std::size_t bound = _terms.bound(quota);
        if (busiest > bound) {
            result.push_back("QUOTA: " + std::to_string(busiest) + " units of tenant " +
                             tenant.value() + " in a window, allowed " + std::to_string(bound));
        }
    }
    return result;
}

}  // namespace coralhoist::soak
