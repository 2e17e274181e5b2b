#include "zone/RegionContacts.h"

#include <algorithm>

namespace coralhoist::zone {
namespace {

/** One in so many newly told contacts replaces a working one, so that load spreads over members. */
constexpr std::uint64_t kReplacementOdds = 8;

}  // namespace

void RegionContacts::learn(const Member& member, RandomSource& random) {
    if (member.region == _ownRegion || member.address.host.empty() || !takesWork(member)) {
        return;
    }
    Contact* held = findContact(member);
    if (held == nullptr) {
        insert(member, random);
    } else if (held->member.incarnation < member.incarnation) {
        *held = Contact{member, 0};
    }
}

void RegionContacts::heard(const Member& member, RandomSource& random) {
    learn(member, random);
    if (Contact* held = findContact(member)) {
        held->failures = 0;
    }
}

void RegionContacts::failed(const NodeName& name) {
    for (auto& [region, zones] : _regions) {
        for (auto& [zone, contacts] : zones) {
            for (Contact& contact : contacts) {
                contact.failures += contact.member.name == name ? 1 : 0;
            }
        }
    }
}

std::vector<RegionName> RegionContacts::regions() const {
    std::vector<RegionName> names;
    for (const auto& [region, zones] : _regions) {
        names.push_back(region);
    }
    return names;
}

std::vector<ZoneName> RegionContacts::zones(const RegionName& region) const {
    std::vector<ZoneName> names;
    const auto found = _regions.find(region);
    if (found != _regions.end()) {
        for (const auto& [zone, contacts] : found->second) {
            names.push_back(zone);
        }
    }
    return names;
}

std::size_t RegionContacts::zoneCount() const {
    std::size_t count = 0;
    for (const auto& [region, zones] : _regions) {
        count += zones.size();
    }
    return count;
}

std::optional<Member> RegionContacts::pick(const RegionName& region, RandomSource& random) const {
    const auto found = _regions.find(region);
    if (found == _regions.end()) {
        return std::nullopt;
    }
    std::vector<const Contact*> candidates;
    for (const auto& [zone, contacts] : found->second) {
        for (const Contact& contact : contacts) {
            candidates.push_back(&contact);
        }
    }
    const bool anyAnswers = std::any_of(candidates.begin(), candidates.end(),
                                        [](const Contact* item) { return item->failures == 0; });
    if (anyAnswers) {
        std::erase_if(candidates, [](const Contact* item) { return item->failures > 0; });
    }
    return candidates.empty() ? std::nullopt
                              : std::optional(candidates[random.below(candidates.size())]->member);
}

std::optional<Member> RegionContacts::pickAny(RandomSource& random) const {
    if (_regions.empty()) {
        return std::nullopt;
    }
    auto region = _regions.begin();
    std::advance(region, static_cast<std::ptrdiff_t>(random.below(_regions.size())));
    return pick(region->first, random);
}

std::vector<Member> RegionContacts::sample(const std::optional<RegionName>& region,
                                           std::size_t maximum, RandomSource& random) const {
    std::vector<Member> members;
    for (const auto& [name, zones] : _regions) {
        if (region && *region != name) {
            continue;
        }
        for (const auto& [zone, contacts] : zones) {
            for (const Contact& contact : contacts) {
                members.push_back(contact.member);
            }
        }
    }
    const std::size_t count = std::min(maximum, members.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(members[index], members[index + random.below(members.size() - index)]);
    }
    members.resize(count);
    return members;
}

RegionContacts::Contact* RegionContacts::findContact(const Member& member) {
    const auto region = _regions.find(member.region);
    if (region == _regions.end()) {
        return nullptr;
    }
    const auto zone = region->second.find(member.zone);
    if (zone == region->second.end()) {
        return nullptr;
    }
    const auto held = std::find_if(
        zone->second.begin(), zone->second.end(),
        [&member](const Contact& contact) { return contact.member.name == member.name; });
    return held == zone->second.end() ? nullptr : &*held;
}

void RegionContacts::insert(const Member& member, RandomSource& random) {
    std::vector<Contact>& contacts = _regions[member.region][member.zone];
    if (contacts.size() < _contactsPerZone) {
        contacts.push_back(Contact{member, 0});
        return;
    }
    const auto failing = std::find_if(contacts.begin(), contacts.end(),
                                      [](const Contact& contact) { return contact.failures > 0; });
    if (failing != contacts.end()) {
        *failing = Contact{member, 0};
    } else if (random.below(kReplacementOdds) == 0) {
        contacts[random.below(contacts.size())] = Contact{member, 0};
    }
}

}  // namespace coralhoist::zone
