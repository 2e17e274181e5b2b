/** Tracks the zones that operators evacuate, and when each zone must be empty. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"

namespace coralhoist::locality {

/** The state of a zone's evacuation. */
enum class ZoneUse {
    Free,    /**< Not evacuated. */
    Leaving, /**< Evacuated; statements that can't go elsewhere yet may still be sent there. */
    Closed,  /**< Evacuated; nothing is sent there any more. */
};

/** One evacuated zone. */
struct Evacuation {
    /** When this node learned of it. */
    TimePoint learnedAt{};
    /** From this time on nothing is sent to the zone. */
    TimePoint closesAt{};
};

/**
 * The evacuations in a store of versioned objects, fed with the store's lists and events.
 *
 * An evacuation was acknowledged after the last moment at which the store is proven not to have
 * contained it. A zone that closes a margin before that moment plus the bound is therefore closed
 * in time. A node without any proof closes the zone at once.
 *
 * Invariants: an evacuation in force ends only by a later removal of it or by a later list of the
 * same era. Where the store was restored from an older copy that lacks the evacuation, its operator
 * may be about to write it again: it stays in force until a list that was requested after that is
 * proven. A version older than the known one changes nothing.
 */
class EvacuatedZones {
public:
    /**
     * @param bound maximum time from the store's acknowledgement of an evacuation to the last
     *        request that is sent to the zone.
     */
    explicit EvacuatedZones(Duration bound) : _bound(bound) {}

    /**
     * Takes all evacuations in a list of the store.
     * @param zones with the version of each zone's object.
     * @param version of the list.
     * @param provenAt time up to which the evacuations known before are proven complete; the epoch
     *        when nothing was proven.
     */
    void takeList(const std::map<ZoneName, StoreVersion>& zones, const StoreVersion& version,
                  TimePoint provenAt, TimePoint now);

    /** Takes an evacuation that was written. The parameters are those of `takeList`. */
    void takeEvacuation(const ZoneName& zone, const StoreVersion& version, TimePoint provenAt,
                        TimePoint now);

    /** Takes the removal of an evacuation. */
    void takeRemoval(const ZoneName& zone, const StoreVersion& version);

    /** Records that the known evacuations are proven complete up to a moment. Ends the evacuations
     * that were lost when the store was restored and that have not been written again. */
    void noteProven(TimePoint provenAt);

    /** @return how far the zone may be used. */
    ZoneUse useOf(const ZoneName& zone, TimePoint now) const;
    bool isEvacuated(const ZoneName& zone) const { return _zones.contains(zone); }

    /** All zones that are evacuated. */
    const std::map<ZoneName, Evacuation>& zones() const { return _zones; }

    /** @return when the next zone closes after `now`; none when no further zone closes. */
    std::optional<TimePoint> nextClosing(TimePoint now) const;

    /** @return a counter that rises whenever an evacuation of a zone begins or ends. */
    std::uint64_t changes() const { return _changes; }

private:
    bool noteIfNewer(const ZoneName& zone, const StoreVersion& version);
    void endEvacuation(const ZoneName& zone);

    Duration _bound;
    std::map<ZoneName, Evacuation> _zones;
    /** Latest known version of each zone's evacuation, removals included. */
    std::map<ZoneName, StoreVersion> _versions;
    /** Version of the newest list. */
    StoreVersion _listed;
    /** Evacuated zones that are missing from a list of a later era, and when that was learned. */
    std::map<ZoneName, TimePoint> _unconfirmed;
    std::uint64_t _changes = 0;
};

}  // namespace coralhoist::locality
