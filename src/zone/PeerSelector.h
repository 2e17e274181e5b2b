/** Which peers a node gossips settings with. */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/Membership.h"

namespace coralhoist::zone {

/** Chooses peers by zone and region. Cached per version of the membership. */
class PeerSelector {
public:
    /** @param membership, random outlive this object. */
    PeerSelector(const Membership& membership, RandomSource& random)
        : _membership(membership), _random(random) {}

    /** @return the next member of the own zone in name order, so that all form one ring. */
    std::optional<PeerReference> ringSuccessor();
    /** @return a random other member of the own zone. */
    std::optional<PeerReference> inOwnZone();
    /** @return a random member of another zone of the own region. */
    std::optional<PeerReference> inOtherZone();
    /** @return a random contact of another region. */
    std::optional<PeerReference> inOtherRegion();
    /** @return a random other member of the own region, or else of another one. */
    std::optional<PeerReference> anywhere();

    /** @return the live members of the own zone, this node included, in name order. */
    const std::vector<const Member*>& zoneMembers();
    /** @return a random member of each other zone of the own region. */
    std::vector<PeerReference> oneOfEachOtherZone();
    /** @return a random contact of each other region. */
    std::vector<PeerReference> oneOfEachOtherRegion();

    /**
     * @return the position of this node among the members of its zone that take work, ranked by
     * rendezvous hashing; nothing when it takes no work itself.
     */
    std::optional<std::size_t> rankInZone();

private:
    void refresh();
    std::optional<PeerReference> pick(const std::vector<const Member*>& members) const;

    const Membership& _membership;
    RandomSource& _random;
    std::uint64_t _seenVersion = ~0ULL;
    /** Valid while the membership's version stays the same. */
    std::vector<const Member*> _zoneMembers;
    std::vector<const Member*> _otherZones;
    std::optional<std::size_t> _rank;
};

}  // namespace coralhoist::zone
