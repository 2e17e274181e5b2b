#include "tenancy/QuotaLease.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::tenancy {
namespace {

using Seconds = std::chrono::duration<double>;

/** Time constant for smoothing a tenant's rate at a node. */
constexpr Duration kRateSpan = std::chrono::seconds(1);
/**
 * Maximum number of ended batches kept to be reported to the leader. The leader gets no report of
 * others, and counts all their units until they expire.
 */
constexpr std::size_t kMaxEndedBatches = 32;

}  // namespace

void QuotaLease::add(const QuotaResponse& answer, TimePoint usableUntil, TimePoint now) {
    if (answer.granted == 0) {
        return;
    }
    const Batch batch{answer.batch, answer.granted, 0, usableUntil, usableUntil};
    const auto later =
        std::find_if(_batches.begin(), _batches.end(),
                     [usableUntil](const Batch& other) { return other.usableUntil > usableUntil; });
    _batches.insert(later, batch);
    expire(now);
}

void QuotaLease::end(const Batch& batch) {
    _unused += batch.left;
    _ended.push_back(batch);
    if (_ended.size() > kMaxEndedBatches) {
        _ended.pop_front();
    }
}

void QuotaLease::expire(TimePoint now) {
    while (!_batches.empty() && now >= _batches.front().usableUntil) {
        end(_batches.front());
        _batches.pop_front();
    }
}

bool QuotaLease::takeUnit(TimePoint now) {
    expire(now);
    if (_batches.empty()) {
        return false;
    }
    Batch& batch = _batches.front();
    --batch.left;
    ++batch.used;
    batch.lastUse = now;
    if (batch.left == 0) {
        end(batch);
        _batches.pop_front();
    }
    const double decay = std::exp(-(Seconds(now - _ratedAt) / Seconds(kRateSpan)));
    _rate = _rate * decay + 1 / Seconds(kRateSpan).count();
    _ratedAt = now;
    return true;
}

std::uint32_t QuotaLease::units(TimePoint now) {
    expire(now);
    std::uint32_t units = 0;
    for (const Batch& batch : _batches) {
        units += batch.left;
    }
    return units;
}

std::uint32_t QuotaLease::unitsAt(TimePoint moment) const {
    std::uint32_t units = 0;
    for (const Batch& batch : _batches) {
        units += moment < batch.usableUntil ? batch.left : 0;
    }
    return units;
}

std::uint32_t QuotaLease::unitsAhead(Duration span, TimePoint now) const {
    const double decay = std::exp(-(Seconds(now - _ratedAt) / Seconds(kRateSpan)));
    return static_cast<std::uint32_t>(std::floor(_rate * decay * Seconds(span).count()));
}

std::vector<BatchSettlement> QuotaLease::settlements(TimePoint now) const {
    std::vector<BatchSettlement> result;
    for (const Batch& batch : _ended) {
        result.push_back({batch.id, batch.used, std::max(Duration(0), now - batch.lastUse)});
    }
    return result;
}

void QuotaLease::forget(const std::vector<BatchSettlement>& reported) {
    for (const BatchSettlement& settlement : reported) {
        std::erase_if(_ended,
                      [&settlement](const Batch& batch) { return batch.id == settlement.batch; });
    }
}

}  // namespace coralhoist::tenancy
