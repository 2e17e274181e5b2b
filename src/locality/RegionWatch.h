/** Measurements of the exchanges with other regions. */
#pragma once

#include "locality/BackgroundShare.h"
#include "locality/PlaceDistances.h"
#include "locality/RegionTraffic.h"

namespace coralhoist::locality {

/** Fed by the connections of a node in an estate with several regions; in other estates there is
 * none. */
struct RegionWatch {
    RegionWatch(const RegionMap& regions, const ZoneName& zone)
        : traffic(regions, zone), distances(regions, zone), background(traffic) {}
    RegionWatch(const RegionWatch&) = delete;
    RegionWatch& operator=(const RegionWatch&) = delete;

    RegionTraffic traffic;
    PlaceDistances distances;
    BackgroundShare background;
};

}  // namespace coralhoist::locality
