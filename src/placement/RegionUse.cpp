#include "placement/RegionUse.h"

namespace coralhoist::placement {

void RegionUse::noteSent(const pooling::PlacedUnit& /*unit*/, const pooling::PlacedServer& server) {
    Counter& counter = server.isPrimary ? _primaries : _replicas;
    ++(_regions.areInOneRegion(_zone, server.zone) ? counter.here : counter.elsewhere);
}

}  // namespace coralhoist::placement
