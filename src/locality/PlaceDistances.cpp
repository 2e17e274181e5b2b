#include "locality/PlaceDistances.h"

#include <algorithm>

namespace coralhoist::locality {
namespace {

/** The minimum of this window and of the previous one applies. */
constexpr Duration kWindow = std::chrono::seconds(5);
/** A round trip that was measured longer ago than this is ignored. */
constexpr Duration kKnownFor = std::chrono::seconds(60);
/** Round trip assumed for another region without a measurement: cities some hundred kilometres
 * apart. */
constexpr Duration kAssumedRoundTrip = std::chrono::milliseconds(40);

}  // namespace

bool PlaceDistances::isElsewhere(const ZoneName& zone) const {
    return _regions.zones().contains(zone) && !_regions.areInOneRegion(_zone, zone);
}

void PlaceDistances::note(const ZoneName& zone, Duration roundTrip, TimePoint now) {
    if (!isElsewhere(zone) || roundTrip < Duration(0)) {
        return;
    }
    Region& region = _measured[_regions.regionOf(zone)];
    if (!region.present.least || now - region.present.since >= kWindow) {
        region.former = region.present.least;
        region.present = {roundTrip, now};
    } else {
        region.present.least = std::min(*region.present.least, roundTrip);
    }
    region.notedAt = now;
}

RoundTrip PlaceDistances::to(const ZoneName& zone, TimePoint now) const {
    if (!isElsewhere(zone)) {
        return {};
    }
    const auto found = _measured.find(_regions.regionOf(zone));
    if (found == _measured.end() || now - found->second.notedAt > kKnownFor) {
        return {kAssumedRoundTrip, std::nullopt};
    }
    const Region& region = found->second;
    const bool formerCounts = region.former && now - region.present.since < kWindow;
    const Duration least =
        formerCounts ? std::min(*region.former, *region.present.least) : *region.present.least;
    return {least, now - region.notedAt};
}

}  // namespace coralhoist::locality
