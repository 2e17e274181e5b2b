#include "locality/RegionMap.h"

#include <utility>

namespace coralhoist::locality {

RegionMap::RegionMap(std::map<ZoneName, RegionName> regions) : _regions(std::move(regions)) {
    for (const auto& [zone, region] : _regions) {
        _names.insert(region);
    }
}

const RegionName& RegionMap::regionOf(const ZoneName& zone) const {
    const auto found = _regions.find(zone);
    return found == _regions.end() ? _unknown : found->second;
}

bool RegionMap::areInOneRegion(const ZoneName& zone, const ZoneName& other) const {
    return zone == other || (_regions.contains(zone) && regionOf(zone) == regionOf(other));
}

}  // namespace coralhoist::locality
