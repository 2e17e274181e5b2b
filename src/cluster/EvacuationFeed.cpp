#include "cluster/EvacuationFeed.h"

#include "base/Error.h"
#include "base/Log.h"

namespace coralhoist::cluster {

void EvacuationFeed::onList(const std::vector<store::StoredObject>& objects,
                            const StoreVersion& version) {
    std::map<ZoneName, StoreVersion> zones;
    for (const store::StoredObject& object : objects) {
        if (const std::optional<ZoneName> zone = zoneOf(object)) {
            zones[*zone] = object.version;
        }
    }
    _parts.zones.takeList(zones, version, _parts.provenAt(), _parts.clock.now());
}

void EvacuationFeed::onEvent(const store::ObjectEvent& event) {
    if (event.removed) {
        _parts.zones.takeRemoval(ZoneName(event.object.name), event.object.version);
        return;
    }
    if (const std::optional<ZoneName> zone = zoneOf(event.object)) {
        _parts.zones.takeEvacuation(*zone, event.object.version, _parts.provenAt(),
                                    _parts.clock.now());
    }
}

StatusWith<ZoneName> EvacuationFeed::read(const store::StoredObject& object) const {
    StatusWith<ZoneName> zone = _parts.codec.readEvacuation(object);
    const auto& known = _parts.regions.zones();
    if (zone.isOk() && !known.empty() && !known.contains(zone.value())) {
        return Status(ErrorCode::NotFound, "the estate has no such zone");
    }
    return zone;
}

std::optional<ZoneName> EvacuationFeed::zoneOf(const store::StoredObject& object) {
    const StatusWith<ZoneName> zone = read(object);
    if (zone.isOk()) {
        return zone.value();
    }
    StoreVersion& logged = _loggedVersions[object.name];
    if (logged < object.version) {
        logged = object.version;
        ++_unreadableEntries;
        LogEvent("evacuation", LogLevel::Warning, "entry.unreadable")
            .field("entry", object.name)
            .field("version", object.version)
            .field("reason", zone.status().message());
    }
    return std::nullopt;
}

}  // namespace coralhoist::cluster
