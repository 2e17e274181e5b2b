#include "locality/EvacuatedZones.h"

#include <algorithm>
#include <vector>

namespace coralhoist::locality {
namespace {

/** One part in this many of the bound is reserved for requests that are on their way to a server
 * when its zone closes, and for delays of the event loop. */
constexpr int kMarginParts = 8;

TimePoint closingAfter(TimePoint provenAt, Duration bound, TimePoint now) {
    const bool isProven = provenAt != TimePoint{};
    return isProven ? std::max(provenAt + bound - bound / kMarginParts, now) : now;
}

}  // namespace

void EvacuatedZones::takeList(const std::map<ZoneName, StoreVersion>& zones,
                              const StoreVersion& version, TimePoint provenAt, TimePoint now) {
    if (version < _listed) {
        return;
    }
    const bool isOfLaterEra = version.era > _listed.era && _listed.exists();
    _listed = version;
    std::vector<ZoneName> missing;
    for (const auto& [zone, evacuation] : _zones) {
        if (!zones.contains(zone) && _versions[zone] <= version) {
            missing.push_back(zone);
        }
    }
    for (const ZoneName& zone : missing) {
        if (isOfLaterEra) {
            _unconfirmed.insert_or_assign(zone, now);
        } else if (!_unconfirmed.contains(zone)) {
            _versions[zone] = version;
            endEvacuation(zone);
        }
    }
    for (const auto& [zone, written] : zones) {
        takeEvacuation(zone, written, provenAt, now);
    }
}

void EvacuatedZones::takeEvacuation(const ZoneName& zone, const StoreVersion& version,
                                    TimePoint provenAt, TimePoint now) {
    if (!noteIfNewer(zone, version)) {
        return;
    }
    _unconfirmed.erase(zone);
    const Evacuation evacuation{now, closingAfter(provenAt, _bound, now)};
    _changes += _zones.emplace(zone, evacuation).second ? 1 : 0;
}

void EvacuatedZones::takeRemoval(const ZoneName& zone, const StoreVersion& version) {
    if (noteIfNewer(zone, version)) {
        endEvacuation(zone);
    }
}

void EvacuatedZones::noteProven(TimePoint provenAt) {
    std::vector<ZoneName> lost;
    for (const auto& [zone, missingSince] : _unconfirmed) {
        if (provenAt > missingSince) {
            lost.push_back(zone);
        }
    }
    std::for_each(lost.begin(), lost.end(), [this](const ZoneName& zone) { endEvacuation(zone); });
}

/** @return whether the version is later than every known version of the zone; if so, records it. */
bool EvacuatedZones::noteIfNewer(const ZoneName& zone, const StoreVersion& version) {
    StoreVersion& known = _versions[zone];
    if (version <= known || version.era < _listed.era) {
        return false;
    }
    known = version;
    return true;
}

void EvacuatedZones::endEvacuation(const ZoneName& zone) {
    _unconfirmed.erase(zone);
    _changes += _zones.erase(zone);
}

ZoneUse EvacuatedZones::useOf(const ZoneName& zone, TimePoint now) const {
    const auto found = _zones.find(zone);
    if (found == _zones.end()) {
        return ZoneUse::Free;
    }
    return now < found->second.closesAt ? ZoneUse::Leaving : ZoneUse::Closed;
}

std::optional<TimePoint> EvacuatedZones::nextClosing(TimePoint now) const {
    std::optional<TimePoint> next;
    for (const auto& [zone, evacuation] : _zones) {
        if (evacuation.closesAt > now && (!next || evacuation.closesAt < *next)) {
            next = evacuation.closesAt;
        }
    }
    return next;
}

}  // namespace coralhoist::locality
