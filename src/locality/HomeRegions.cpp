#include "locality/HomeRegions.h"

#include <algorithm>
#include <iterator>

namespace coralhoist::locality {

HomeRegions::HomeRegions(const std::vector<RegionName>& regions)
    : _binds(!regions.empty()), _regions(regions.begin(), regions.end()) {}

HomeRegions HomeRegions::joinedWith(const HomeRegions& other) const {
    if (!_binds || !other._binds) {
        return _binds ? *this : other;
    }
    HomeRegions common;
    common._binds = true;
    std::set_intersection(_regions.begin(), _regions.end(), other._regions.begin(),
                          other._regions.end(),
                          std::inserter(common._regions, common._regions.end()));
    return common;
}

bool HomeRegions::allow(const RegionMap& map, const ZoneName& zone) const {
    return !_binds || _regions.contains(map.regionOf(zone));
}

}  // namespace coralhoist::locality
