/** The regions that a unit of work must not leave. */
#pragma once

#include <set>
#include <vector>

#include "base/Identifier.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/**
 * Either no bond at all, or a set of regions. A set without a region in common is a bond that
 * nothing meets. A zone whose region is not known is in no home.
 */
class HomeRegions {
public:
    /** Binds nothing. */
    HomeRegions() = default;
    /** @param regions none: binds nothing. */
    explicit HomeRegions(const std::vector<RegionName>& regions);

    /** @return the regions that meet both bonds. */
    HomeRegions joinedWith(const HomeRegions& other) const;

    /** @return whether any region is excluded. */
    bool binds() const { return _binds; }

    /** @return whether no region meets the bond. */
    bool excludesAll() const { return _binds && _regions.empty(); }

    /** @return whether a machine of the zone stands in a home. */
    bool allow(const RegionMap& map, const ZoneName& zone) const;

    /** @return the regions; none where nothing is bound, too. */
    const std::set<RegionName>& regions() const { return _regions; }

    bool operator==(const HomeRegions&) const = default;

private:
    bool _binds = false;
    std::set<RegionName> _regions;
};

}  // namespace coralhoist::locality
