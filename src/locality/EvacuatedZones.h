/** Which zones operators evacuate, and when each must be empty. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"

namespace coralhoist::locality {

/** How far the evacuation of a zone has come. */
enum class ZoneUse {
    Free,    /**< Not evacuated. */
    Leaving, /**< Evacuated; what can't go elsewhere yet may still be sent there. */
    Closed,  /**< Evacuated; nothing more is sent there. */
};

/** One zone that is evacuated. */
struct Evacuation {
    /** When this node learned of it. */
    TimePoint learnedAt{};
    /** Nothing is sent to the zone from then on. */
    TimePoint closesAt{};
};

/**
 * The evacuations that a store of versioned objects shows, fed with its lists and events.
 *
 * An evacuation was acknowledged after the last moment at which the store is proven to have been
 * without it, so that a zone which closes a margin before that moment and the bound is closed in
 * time. A node that was proven nothing closes it at once.
 *
 * Invariants: an evacuation that is in force ends by a later removal of it or by a later list of
 * its era alone. Where the store has returned from an older copy and lacks it, its operator may be
 * about to write it again: it stays until a list is proven that was asked for after that. What is
 * older than what is known changes nothing.
 */
class EvacuatedZones {
public:
    /** @param bound from the store's acknowledgement of an evacuation to the last request. */
    explicit EvacuatedZones(Duration bound) : _bound(bound) {}

    /**
     * Takes all evacuations that a list shows.
     * @param zones with the version of each one's object.
     * @param version of the list.
     * @param provenAt up to when the evacuations that were known before are proven complete; the
     *        epoch when nothing was proven.
     */
    void takeList(const std::map<ZoneName, StoreVersion>& zones, const StoreVersion& version,
                  TimePoint provenAt, TimePoint now);

    /** An evacuation was written. The arguments are those of `takeList`. */
    void takeEvacuation(const ZoneName& zone, const StoreVersion& version, TimePoint provenAt,
                        TimePoint now);

    /** An evacuation was taken back. */
    void takeRemoval(const ZoneName& zone, const StoreVersion& version);

    /** What is known is proven complete up to a moment; ends what a return of the store has lost
     * and nobody has written again. */
    void noteProven(TimePoint provenAt);

    /** @return how far the zone may be used. */
    ZoneUse useOf(const ZoneName& zone, TimePoint now) const;
    bool isEvacuated(const ZoneName& zone) const { return _zones.contains(zone); }

    /** All zones that are evacuated. */
    const std::map<ZoneName, Evacuation>& zones() const { return _zones; }

    /** @return when the next zone closes after `now`; none when no more does. */
    std::optional<TimePoint> nextClosing(TimePoint now) const;

    /** @return a number that rises whenever a zone becomes evacuated or is given back. */
    std::uint64_t changes() const { return _changes; }

private:
    bool isNews(const ZoneName& zone, const StoreVersion& version);
    void giveBack(const ZoneName& zone);

    Duration _bound;
    std::map<ZoneName, Evacuation> _zones;
    /** Version of the last change of each zone's evacuation that is known, removals included. */
    std::map<ZoneName, StoreVersion> _versions;
    /** Version of the newest list. */
    StoreVersion _listed;
    /** Zones that a list of a later era lacks, and when that was learned. */
    std::map<ZoneName, TimePoint> _unconfirmed;
    std::uint64_t _changes = 0;
};

}  // namespace coralhoist::locality
