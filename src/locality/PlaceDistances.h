/** How far other places are away. */
#pragma once

#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/** The time to a place and back. */
struct RoundTrip {
    Duration time{0};
    /** Time since it was measured last; none for what only the places' regions tell. */
    std::optional<Duration> age;

    bool isMeasured() const { return age.has_value(); }
};

/**
 * Round trips from this node to other regions, as exchanges that happen anyway show them: the
 * opening of connections, and signs of life. The least of some seconds counts, so that neither a
 * crowd at one node nor a retransmission makes a region seem farther away; a link that has become
 * slow for all is believed once a window has passed.
 *
 * What has not been measured for long counts as unknown, and is taken from the regions alone.
 */
class PlaceDistances {
public:
    PlaceDistances(const RegionMap& regions, const ZoneName& zone)
        : _regions(regions), _zone(zone) {}

    /** An exchange with the zone took so long. Zones of the own region and unknown ones are left
     * out. */
    void note(const ZoneName& zone, Duration roundTrip, TimePoint now);

    /** @return the round trip to the zone; 0 within the region and to a zone that is not known. */
    RoundTrip to(const ZoneName& zone, TimePoint now) const;

private:
    struct Window {
        std::optional<Duration> least;
        TimePoint since{};
    };
    struct Region {
        Window present;
        std::optional<Duration> former;
        TimePoint notedAt{};
    };

    bool isElsewhere(const ZoneName& zone) const;

    RegionMap _regions;
    ZoneName _zone;
    std::map<RegionName, Region> _measured;
};

}  // namespace coralhoist::locality
