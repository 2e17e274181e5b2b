/** Which proxies own a database group. */
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "settings/EffectiveSettings.h"
#include "zone/Membership.h"

namespace coralhoist::zone {

/** What a proxy does for a group. */
enum class OwnerRole : std::uint8_t {
    None,    /**< Forwards statements to an active owner. */
    Standby, /**< Keeps warm connections to take over. */
    Active,  /**< Executes statements. */
};

/** What placement needs to know of a group. */
struct PlacementRequest {
    GroupName group;
    /** Zones of the group's servers, one entry a server. */
    std::vector<ZoneName> serverZones;
    std::uint32_t activeOwners = 1;
    std::uint32_t standbyOwners = 1;
};

/** @return the request for a group with these settings. */
PlacementRequest placementRequest(const settings::GroupSettings& settings);

/** One owner of a group. */
struct Owner {
    NodeName name;
    ZoneName zone;
    PeerAddress address;
    OwnerRole role = OwnerRole::None;

    bool operator==(const Owner&) const = default;
};

/** Where a group is served. */
struct GroupPlacement {
    /** The region in which most of the group's servers stand. */
    RegionName region;
    /** Own region: the active owners in order of preference, then the standby owners. */
    std::vector<Owner> owners;
    /** Other region: members there that know the owners; any of them forwards to one. */
    std::vector<Member> contacts;
};

/**
 * Owners by rendezvous hashing over the members of the group's region that take work, spread over
 * zones: a change of one member moves only the groups for which it ranked among the first. Nodes
 * with the same view compute the same owners; safety never depends on that.
 */
class Placement {
public:
    /** @param membership outlives this object, as does random. */
    Placement(const Membership& membership, RandomSource& random)
        : _membership(membership), _random(random) {}

    /** @return where the group is served in the current view. Cached until the view changes. */
    GroupPlacement ownersOf(const PlacementRequest& request);

    /** @return what a node does for the group in the current view. */
    OwnerRole roleOf(const NodeName& node, const PlacementRequest& request);

    /** @return the number of the view; a result may be kept while it stays the same. */
    std::uint64_t viewVersion() const;

private:
    struct Candidate {
        std::uint64_t hash = 0;
        /** Valid while the membership's version stays the same. */
        const Member* member = nullptr;
        std::size_t zone = 0;
    };
    struct CachedOwners {
        PlacementRequest request;
        std::vector<Owner> owners;
    };

    void refresh();
    RegionName regionOf(const PlacementRequest& request) const;
    const std::vector<Owner>& localOwners(const PlacementRequest& request);
    std::vector<Owner> computeOwners(const PlacementRequest& request) const;

    const Membership& _membership;
    RandomSource& _random;
    std::uint64_t _seenVersion = ~0ULL;
    std::vector<Candidate> _candidates;
    std::size_t _zones = 0;
    std::map<ZoneName, RegionName> _regionOfZone;
    std::unordered_map<GroupName, CachedOwners> _cache;
};

}  // namespace coralhoist::zone
