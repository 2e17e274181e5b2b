/** Estimates the round trips to other zones. */
#pragma once

#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/** The round trip to a zone. */
struct RoundTrip {
    Duration time{0};
    /** Time since the last measurement; none when the value is derived from the regions alone. */
    std::optional<Duration> age;

    bool isMeasured() const { return age.has_value(); }
};

/**
 * Round trips from this node to other regions, measured on exchanges that take place anyway: the
 * opening of connections, and heartbeats. The minimum over some seconds applies, so that neither a
 * burst of work at one node nor a retransmission makes a region seem farther away; a link that has
 * become slow for all exchanges is recognised once a window has passed.
 *
 * A measurement that has become too old counts as missing; the round trip is then derived from the
 * regions alone.
 */
class PlaceDistances {
public:
    PlaceDistances(const RegionMap& regions, const ZoneName& zone)
        : _regions(regions), _zone(zone) {}

    /** Records the round trip of an exchange with the zone. Zones of the own region and unknown
     * zones are ignored. */
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
