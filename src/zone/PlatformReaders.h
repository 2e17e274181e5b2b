/** Whether this node reads the platform for its zone. */
#pragma once

#include <optional>

#include "base/Time.h"
#include "zone/DistributionOptions.h"
#include "zone/PeerSelector.h"

namespace coralhoist::zone {

/**
 * The first members of a zone by rank read the platform. While none of them is in contact with it,
 * further members join in one after the other, and step back when contact is there again. How long
 * ago the last contact was goes round in the digests. Nothing breaks when the views differ and more
 * or fewer members read: versions decide, and repair brings what was missed.
 */
class PlatformReaders {
public:
    /** @param peers outlives this object. */
    PlatformReaders(const DistributionOptions& options, PeerSelector& peers)
        : _options(options), _peers(peers) {}

    /** Starts to count the time without contact. */
    void start(TimePoint now) { _startedAt = now; }

    /** The platform answered this node. */
    void noteContact(TimePoint now) { _lastContact = now; }

    /** A member of the same zone told how long ago the zone's last contact was. */
    void noteZoneAge(Duration age, TimePoint now);

    /** @return how long ago the zone's last contact was, if there ever was one. */
    std::optional<Duration> age(TimePoint now) const;

    /** @return whether this node ought to read the platform now. */
    bool shouldRead(TimePoint now);

private:
    const DistributionOptions& _options;
    PeerSelector& _peers;
    TimePoint _startedAt;
    std::optional<TimePoint> _lastContact;
    /** When this node began to read in the place of another; it does so for a while, because its
     * own contact makes the zone's age small. */
    std::optional<TimePoint> _substituteSince;
};

}  // namespace coralhoist::zone
