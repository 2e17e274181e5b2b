#include "locality/RegionTraffic.h"

#include <numeric>

namespace coralhoist::locality {

const char* describe(TrafficPurpose purpose) {
    switch (purpose) {
        case TrafficPurpose::Units:
            return "units";
        case TrafficPurpose::Servers:
            return "servers";
        case TrafficPurpose::Feeds:
            return "feeds";
        case TrafficPurpose::Proofs:
            return "proofs";
        case TrafficPurpose::Quotas:
            return "quotas";
        case TrafficPurpose::LoadReports:
            return "load_reports";
        case TrafficPurpose::Upkeep:
            return "upkeep";
    }
    return "unknown";
}

bool RegionTraffic::leavesRegion(const ZoneName& zone) const {
    return _regions.zones().contains(zone) && !_regions.areInOneRegion(_zone, zone);
}

void RegionTraffic::add(TrafficPurpose purpose, TrafficDirection direction, std::size_t bytes) {
    Counter& counter = _counters[static_cast<std::size_t>(purpose)];
    (direction == TrafficDirection::Sent ? counter.sent : counter.received) += bytes;
}

std::uint64_t RegionTraffic::bytes(TrafficPurpose purpose, TrafficDirection direction) const {
    const Counter& counter = _counters[static_cast<std::size_t>(purpose)];
    return direction == TrafficDirection::Sent ? counter.sent : counter.received;
}

std::uint64_t RegionTraffic::total() const {
    return std::accumulate(_counters.begin(), _counters.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const Counter& counter) {
                               return sum + counter.sent + counter.received;
                           });
}

}  // namespace coralhoist::locality
