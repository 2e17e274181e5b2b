/** The regions that a unit of work must not leave. */
#pragma once

#include <set>
#include <vector>

#include "base/Identifier.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/** Either unrestricted or a set of regions. An empty set is a restriction that no region satisfies.
 * A zone whose region is not known is in no home region. */
class HomeRegions {
public:
    /** Unrestricted. */
    HomeRegions() = default;
    /** @param regions if empty, the result is unrestricted. */
    explicit HomeRegions(const std::vector<RegionName>& regions);

    /** @return the regions that satisfy both restrictions. */
    HomeRegions joinedWith(const HomeRegions& other) const;

    /** @return whether any region is excluded. */
    bool binds() const { return _binds; }

    /** @return whether no region satisfies the restriction. */
    bool excludesAll() const { return _binds && _regions.empty(); }

    /** @return whether the restriction allows the region of the zone. */
    bool allow(const RegionMap& map, const ZoneName& zone) const;

    /** @return the regions; empty also when unrestricted. */
    const std::set<RegionName>& regions() const { return _regions; }

    bool operator==(const HomeRegions&) const = default;

private:
    bool _binds = false;
    std::set<RegionName> _regions;
};

}  // namespace coralhoist::locality
