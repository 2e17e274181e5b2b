#include "zone/Placement.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>

namespace coralhoist::zone {
namespace {

std::uint64_t hashOf(const std::string& text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t score(std::uint64_t groupHash, std::uint64_t memberHash) {
    const std::array<std::uint64_t, 2> pair{groupHash, memberHash};
    return XXH3_64bits(pair.data(), sizeof pair);
}

/** Contacts handed out for a group of another region. */
constexpr std::size_t kContactsPerGroup = 3;
/** Contacts are never dropped, so their count and the version of the view form one number. */
constexpr std::uint64_t kZoneCountShift = 48;

}  // namespace

PlacementRequest placementRequest(const settings::GroupSettings& settings) {
    PlacementRequest request;
    request.group = settings.name;
    for (const settings::ServerEndpoint& server : settings.servers) {
        request.serverZones.push_back(server.zone);
    }
    request.activeOwners = settings.activeOwners;
    request.standbyOwners = settings.standbyOwners;
    return request;
}

std::uint64_t Placement::viewVersion() const {
    return _membership.members().version() ^
           (static_cast<std::uint64_t>(_membership.contacts().zoneCount()) << kZoneCountShift);
}

GroupPlacement Placement::ownersOf(const PlacementRequest& request) {
    refresh();
    GroupPlacement placement;
    placement.region = regionOf(request);
    if (placement.region == _membership.self().region) {
        placement.owners = localOwners(request);
    } else {
        placement.contacts =
            _membership.contacts().sample(placement.region, kContactsPerGroup, _random);
    }
    return placement;
}

OwnerRole Placement::roleOf(const NodeName& node, const PlacementRequest& request) {
    refresh();
    if (regionOf(request) != _membership.self().region) {
        return OwnerRole::None;
    }
    for (const Owner& owner : localOwners(request)) {
        if (owner.name == node) {
            return owner.role;
        }
    }
    return OwnerRole::None;
}

void Placement::refresh() {
    if (_seenVersion == viewVersion()) {
        return;
    }
    _seenVersion = viewVersion();
    _cache.clear();
    _candidates.clear();
    _regionOfZone.clear();
    for (const RegionName& region : _membership.contacts().regions()) {
        for (const ZoneName& zone : _membership.contacts().zones(region)) {
            _regionOfZone.emplace(zone, region);
        }
    }
    std::map<ZoneName, std::size_t> zoneNumbers;
    for (const Member* member : _membership.members().live()) {
        _regionOfZone.insert_or_assign(member->zone, member->region);
        if (takesWork(*member)) {
            const std::size_t zone =
                zoneNumbers.try_emplace(member->zone, zoneNumbers.size()).first->second;
            _candidates.push_back({hashOf(member->name.value()), member, zone});
        }
    }
    _zones = zoneNumbers.size();
}

RegionName Placement::regionOf(const PlacementRequest& request) const {
    std::map<RegionName, std::size_t> servers;
    for (const ZoneName& zone : request.serverZones) {
        const auto region = _regionOfZone.find(zone);
        if (region != _regionOfZone.end()) {
            ++servers[region->second];
        }
    }
    if (!servers.empty()) {
        // The first of equals in name order, on every node.
        return std::max_element(
                   servers.begin(), servers.end(),
                   [](const auto& left, const auto& right) { return left.second < right.second; })
            ->first;
    }
    // Servers in zones without proxies: any region serves them, the same one on every node.
    std::set<RegionName> regions{_membership.self().region};
    for (const RegionName& region : _membership.contacts().regions()) {
        regions.insert(region);
    }
    const std::uint64_t groupHash = hashOf(request.group.value());
    return *std::max_element(regions.begin(), regions.end(),
                             [groupHash](const RegionName& left, const RegionName& right) {
                                 return score(groupHash, hashOf(left.value())) <
                                        score(groupHash, hashOf(right.value()));
                             });
}

const std::vector<Owner>& Placement::localOwners(const PlacementRequest& request) {
    CachedOwners& cached = _cache[request.group];
    const bool hit = !cached.owners.empty() &&
                     cached.request.activeOwners == request.activeOwners &&
                     cached.request.standbyOwners == request.standbyOwners;
    if (!hit) {
        cached.request = request;
        cached.owners = computeOwners(request);
    }
    return cached.owners;
}

std::vector<Owner> Placement::computeOwners(const PlacementRequest& request) const {
    const std::uint64_t groupHash = hashOf(request.group.value());
    const std::size_t wanted =
        std::min<std::size_t>(request.activeOwners + request.standbyOwners, _candidates.size());
    std::vector<std::size_t> ownersInZone(_zones, 0);
    std::vector<const Candidate*> chosen;
    while (chosen.size() < wanted) {
        // The highest score among the zones that hold the fewest owners so far.
        const Candidate* best = nullptr;
        std::uint64_t bestScore = 0;
        for (const Candidate& candidate : _candidates) {
            if (std::find(chosen.begin(), chosen.end(), &candidate) != chosen.end()) {
                continue;
            }
            const std::uint64_t candidateScore = score(groupHash, candidate.hash);
            const bool emptierZone =
                best != nullptr && ownersInZone[candidate.zone] < ownersInZone[best->zone];
            const bool sameFilling =
                best == nullptr || ownersInZone[candidate.zone] == ownersInZone[best->zone];
            if (emptierZone || (sameFilling && (best == nullptr || candidateScore > bestScore))) {
                best = &candidate;
                bestScore = candidateScore;
            }
        }
        ++ownersInZone[best->zone];
        chosen.push_back(best);
    }
    std::vector<Owner> owners;
    for (const Candidate* candidate : chosen) {
        const bool active = owners.size() < request.activeOwners;
        owners.push_back(Owner{candidate->member->name, candidate->member->zone,
                               candidate->member->address,
                               active ? OwnerRole::Active : OwnerRole::Standby});
    }
    return owners;
}

}  // namespace coralhoist::zone
