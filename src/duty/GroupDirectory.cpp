#include "duty/GroupDirectory.h"

#include <algorithm>
#include <utility>

namespace coralhoist::duty {
namespace {

contract::OwnerRole toContractRole(zone::OwnerRole role) {
    switch (role) {
        case zone::OwnerRole::None:
            return contract::OwnerRole::None;
        case zone::OwnerRole::Standby:
            return contract::OwnerRole::Standby;
        case zone::OwnerRole::Active:
            return contract::OwnerRole::Active;
    }
    return contract::OwnerRole::None;
}

/** @return this node's part of a server's slots: all active owners share them. */
std::uint32_t slotShare(const settings::GroupSettings& settings) {
    const std::uint32_t owners = std::max(1U, settings.activeOwners);
    return std::max(1U, settings.slotsPerServer / owners);
}

}  // namespace

GroupDirectory::GroupDirectory(NodeName self, const zone::Membership& membership,
                               peer::PeerTransport& transport, peer::PeerService& peers,
                               GroupRuntimes& runtimes, RandomSource& random)
    : _self(std::move(self)),
      _membership(membership),
      _transport(transport),
      _peers(peers),
      _runtimes(runtimes),
      _placement(membership, random) {}

void GroupDirectory::setSettings(settings::SettingsViewPointer settings) {
    _settings = std::move(settings);
    assignAll();
}

void GroupDirectory::onMembershipChanged() {
    if (_settings && _placement.viewVersion() != _assignedView) {
        assignAll();
    }
}

void GroupDirectory::assignAll() {
    _assignedView = _placement.viewVersion();
    std::map<GroupName, zone::PlacementRequest> requests;
    for (const GroupName& name : _settings->groups()) {
        const auto settings = _settings->group(name);
        if (settings) {
            requests.emplace(name, zone::placementRequest(*settings));
            _runtimes.assign(*settings, assignmentOf(*settings));
        }
    }
    _requests = std::move(requests);
}

GroupAssignment GroupDirectory::assignmentOf(const settings::GroupSettings& settings) {
    const zone::PlacementRequest request = zone::placementRequest(settings);
    GroupAssignment assignment;
    assignment.role = toContractRole(_placement.roleOf(_self, request));
    if (assignment.role != contract::OwnerRole::None) {
        const zone::GroupPlacement placement = _placement.ownersOf(request);
        assignment.connections = zone::connectionShare(settings, placement, _self);
        assignment.slots = slotShare(settings);
    }
    return assignment;
}

std::vector<NodeName> GroupDirectory::owners(const GroupName& group) const {
    const auto found = _requests.find(group);
    if (found == _requests.end()) {
        return {};
    }
    std::vector<NodeName> names;
    const zone::GroupPlacement placement = _placement.ownersOf(found->second);
    for (const zone::Owner& owner : placement.owners) {
        const bool first = owner.name == _self && owner.role == zone::OwnerRole::Active;
        names.insert(first ? names.begin() : names.end(), owner.name);
        if (owner.name != _self) {
            _transport.setAddress(owner.name, {owner.address.host, owner.address.port});
        }
    }
    for (const zone::Member& contact : placement.contacts) {
        names.push_back(contact.name);
        _transport.setAddress(contact.name, {contact.address.host, contact.address.port});
    }
    return names;
}

contract::StatementExecutor* GroupDirectory::executor(const NodeName& node,
                                                      const GroupName& group) {
    if (node == _self) {
        return _runtimes.owned(group);
    }
    return &_peers.remoteExecutor(node);
}

bool GroupDirectory::executesFor(const GroupName& group) const {
    return _runtimes.executesFor(group);
}

bool GroupDirectory::relaysFor(const GroupName& group, const NodeName& forwarder) const {
    const bool isOfOwnRegion = !ownersWithRoles(group).empty();
    return isOfOwnRegion && _membership.members().find(forwarder) == nullptr;
}

std::vector<zone::Owner> GroupDirectory::ownersWithRoles(const GroupName& group) const {
    const auto found = _requests.find(group);
    if (found == _requests.end()) {
        return {};
    }
    return _placement.ownersOf(found->second).owners;
}

contract::OwnerRole GroupDirectory::roleOf(const GroupName& group) const {
    const auto found = _requests.find(group);
    if (found == _requests.end()) {
        return contract::OwnerRole::None;
    }
    return toContractRole(_placement.roleOf(_self, found->second));
}

}  // namespace coralhoist::duty
