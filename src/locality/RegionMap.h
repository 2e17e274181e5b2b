/** The regions of an estate and the zones of each region. */
#pragma once

#include <map>
#include <set>

#include "base/Identifier.h"

namespace coralhoist::locality {

/** Maps zones to regions. Immutable. */
class RegionMap {
public:
    /** Knows no zone: all zones appear to be in one region without a name. */
    RegionMap() = default;
    explicit RegionMap(std::map<ZoneName, RegionName> regions);

    /** @return the region of the zone; an empty name for a zone that is not known. */
    const RegionName& regionOf(const ZoneName& zone) const;

    /**
     * @return whether both zones are in one region. A zone that is not known shares a region with
     * no other zone.
     */
    bool areInOneRegion(const ZoneName& zone, const ZoneName& other) const;

    /** @return all regions. */
    const std::set<RegionName>& regions() const { return _names; }

    /** @return whether there is more than one region. */
    bool hasSeveralRegions() const { return _names.size() > 1; }

    const std::map<ZoneName, RegionName>& zones() const { return _regions; }

private:
    std::map<ZoneName, RegionName> _regions;
    std::set<RegionName> _names;
    RegionName _unknown;
};

}  // namespace coralhoist::locality
