#include "pooling/FreshnessFloors.h"

#include <algorithm>

namespace coralhoist::pooling {

void FreshnessFloors::add(TimePoint askedAt, OpTime position) {
    if (!_samples.empty() && askedAt < _samples.back().askedAt + kSpacing) {
        return;
    }
    _samples.push_back({askedAt, position});
}

std::optional<OpTime> FreshnessFloors::covering(TimePoint since) const {
    const auto found =
        std::lower_bound(_samples.begin(), _samples.end(), since,
                         [](const Sample& sample, TimePoint t) { return sample.askedAt < t; });
    if (found == _samples.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<TimePoint> FreshnessFloors::reachedAt(OpTime position) const {
    const auto found =
        std::partition_point(_samples.begin(), _samples.end(),
                             [=](const Sample& sample) { return sample.position < position; });
    if (found == _samples.end()) {
        return std::nullopt;
    }
    return found->askedAt;
}

Duration FreshnessFloors::lagOf(OpTime position, TimePoint now) const {
    const auto found =
        std::partition_point(_samples.begin(), _samples.end(),
                             [=](const Sample& sample) { return sample.position <= position; });
    return found == _samples.end() ? Duration(0) : now - found->askedAt;
}

void FreshnessFloors::dropBefore(TimePoint time) {
    while (_samples.size() > 1 && _samples.front().askedAt < time) {
        _samples.pop_front();
    }
}

}  // namespace coralhoist::pooling
