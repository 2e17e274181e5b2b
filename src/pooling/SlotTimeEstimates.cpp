#include "pooling/SlotTimeEstimates.h"

#include <algorithm>

namespace coralhoist::pooling {
namespace {

/** A new time has the weight of one in this many. */
constexpr int kSmoothing = 16;

}  // namespace

void SlotTimeEstimates::add(const ServiceName& service, UnitKind kind, Duration took) {
    Duration& time = _times[service].try_emplace(kind, took).first->second;
    time += (took - time) / kSmoothing;
}

Duration SlotTimeEstimates::expected(const ServiceName& service, UnitKind kind) const {
    const auto found = _times.find(service);
    if (found == _times.end()) {
        return Duration(0);
    }
    const ByKind& times = found->second;
    const auto exact = times.find(kind);
    if (exact != times.end()) {
        return exact->second;
    }
    Duration longest(0);
    for (const auto& [other, time] : times) {
        longest = std::max(longest, time);
    }
    return longest;
}

}  // namespace coralhoist::pooling
