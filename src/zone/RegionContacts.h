/** The few members of other regions that a node knows. */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/Member.h"

namespace coralhoist::zone {

/**
 * A bounded set of contacts for each zone of each other region. Contacts that don't answer are
 * replaced by fresh ones, but never dropped without a replacement: after an hour in which the
 * regions could not reach each other, the old contacts are the way back.
 */
class RegionContacts {
public:
    /**
     * @param ownRegion members of this region are not contacts.
     * @param contactsPerZone most contacts kept for a zone.
     */
    RegionContacts(RegionName ownRegion, std::size_t contactsPerZone)
        : _ownRegion(std::move(ownRegion)), _contactsPerZone(contactsPerZone) {}

    /** Takes a contact that somebody told of. */
    void learn(const Member& member, RandomSource& random);

    /** Takes a contact that was heard directly. */
    void heard(const Member& member, RandomSource& random);

    /** The contact did not answer. */
    void failed(const NodeName& name);

    /** @return the regions other than the own one that are known, in name order. */
    std::vector<RegionName> regions() const;

    /** @return the zones of a region that are known, in name order. */
    std::vector<ZoneName> zones(const RegionName& region) const;

    /** @return the number of zones known in other regions; never shrinks. */
    std::size_t zoneCount() const;

    /** @return a random contact of a region, one that answers if there is any. */
    std::optional<Member> pick(const RegionName& region, RandomSource& random) const;

    /** @return a random contact of a random other region. */
    std::optional<Member> pickAny(RandomSource& random) const;

    /** @return up to maximum random contacts of a region, or of all regions if none is named. */
    std::vector<Member> sample(const std::optional<RegionName>& region, std::size_t maximum,
                               RandomSource& random) const;

private:
    struct Contact {
        Member member;
        int failures = 0;
    };
    using ZoneContacts = std::map<ZoneName, std::vector<Contact>>;

    Contact* findContact(const Member& member);
    void insert(const Member& member, RandomSource& random);

    RegionName _ownRegion;
    std::size_t _contactsPerZone;
    std::map<RegionName, ZoneContacts> _regions;
};

}  // namespace coralhoist::zone
