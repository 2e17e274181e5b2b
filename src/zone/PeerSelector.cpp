#include "zone/PeerSelector.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace coralhoist::zone {
namespace {

/** Keeps the ranking of readers apart from that of owners. */
constexpr std::uint64_t kReaderRankSeed = 0x7265616465727321ULL;

std::uint64_t readerScore(const Member& member) {
    return XXH3_64bits_withSeed(member.name.value().data(), member.name.value().size(),
                                kReaderRankSeed);
}

PeerReference reference(const Member& member) {
    return {member.name, member.address};
}

}  // namespace

std::optional<PeerReference> PeerSelector::ringSuccessor() {
    refresh();
    if (_zoneMembers.size() < 2) {
        return std::nullopt;
    }
    const auto next = std::upper_bound(
        _zoneMembers.begin(), _zoneMembers.end(), _membership.self().name,
        [](const NodeName& name, const Member* member) { return name < member->name; });
    return reference(next == _zoneMembers.end() ? *_zoneMembers.front() : **next);
}

std::optional<PeerReference> PeerSelector::inOwnZone() {
    refresh();
    return pick(_zoneMembers);
}

std::optional<PeerReference> PeerSelector::inOtherZone() {
    refresh();
    return pick(_otherZones);
}

std::optional<PeerReference> PeerSelector::inOtherRegion() {
    const auto contact = _membership.contacts().pickAny(_random);
    return contact ? std::optional(reference(*contact)) : std::nullopt;
}

std::optional<PeerReference> PeerSelector::anywhere() {
    const auto peer = pick(_membership.members().live());
    return peer ? peer : inOtherRegion();
}

const std::vector<const Member*>& PeerSelector::zoneMembers() {
    refresh();
    return _zoneMembers;
}

std::vector<PeerReference> PeerSelector::oneOfEachOtherZone() {
    refresh();
    std::map<ZoneName, std::vector<const Member*>> zones;
    for (const Member* member : _otherZones) {
        zones[member->zone].push_back(member);
    }
    std::vector<PeerReference> peers;
    peers.reserve(zones.size());
    for (const auto& [zone, members] : zones) {
        peers.push_back(reference(*members[_random.below(members.size())]));
    }
    return peers;
}

std::vector<PeerReference> PeerSelector::oneOfEachOtherRegion() {
    std::vector<PeerReference> peers;
    for (const RegionName& region : _membership.contacts().regions()) {
        if (const auto contact = _membership.contacts().pick(region, _random)) {
            peers.push_back(reference(*contact));
        }
    }
    return peers;
}

std::optional<std::size_t> PeerSelector::rankInZone() {
    refresh();
    return _rank;
}

void PeerSelector::refresh() {
    if (_seenVersion == _membership.members().version()) {
        return;
    }
    _seenVersion = _membership.members().version();
    _zoneMembers.clear();
    _otherZones.clear();
    const Member& self = _membership.self();
    for (const Member* member : _membership.members().live()) {
        (member->zone == self.zone ? _zoneMembers : _otherZones).push_back(member);
    }
    std::sort(_zoneMembers.begin(), _zoneMembers.end(),
              [](const Member* left, const Member* right) { return left->name < right->name; });
    _rank.reset();
    if (!self.leaving) {
        const std::uint64_t ownScore = readerScore(self);
        _rank = static_cast<std::size_t>(std::count_if(
            _zoneMembers.begin(), _zoneMembers.end(), [ownScore](const Member* member) {
                return takesWork(*member) && readerScore(*member) > ownScore;
            }));
    }
}

std::optional<PeerReference> PeerSelector::pick(const std::vector<const Member*>& members) const {
    if (members.empty()) {
        return std::nullopt;
    }
    const std::size_t start = _random.below(members.size());
    const Member* chosen = members[start];
    if (chosen->name == _membership.self().name) {
        chosen = members[(start + 1) % members.size()];
    }
    return chosen->name == _membership.self().name ? std::nullopt
                                                   : std::optional(reference(*chosen));
}

}  // namespace coralhoist::zone
