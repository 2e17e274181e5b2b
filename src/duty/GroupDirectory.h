/** Where each group's batches are executed, as settings and membership say now. */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "contract/GroupRouter.h"
#include "duty/GroupRuntimes.h"
#include "link/peer/PeerService.h"
#include "link/peer/PeerTransport.h"
#include "settings/SettingsView.h"
#include "zone/Membership.h"
#include "zone/Placement.h"

namespace coralhoist::duty {

/**
 * Joins placement to execution: tells the router the owners of a group, gives it an executor for
 * each of them, and assigns to this node's runtimes the groups that it owns.
 */
class GroupDirectory final : public contract::OwnerDirectory,
                             public contract::ExecutorDirectory,
                             public peer::GroupOwnership {
public:
    /** @param membership, transport, peers, runtimes, random outlive this object. */
    GroupDirectory(NodeName self, const zone::Membership& membership,
                   peer::PeerTransport& transport, peer::PeerService& peers,
                   GroupRuntimes& runtimes, RandomSource& random);

    /** Puts a new state of the settings in force. */
    void setSettings(settings::SettingsViewPointer settings);

    /** Assigns groups anew if the membership has changed. */
    void onMembershipChanged();

    std::vector<NodeName> owners(const GroupName& group) const override;
    contract::StatementExecutor* executor(const NodeName& node, const GroupName& group) override;

    bool executesFor(const GroupName& group) const override;

    /** Forwarders of other regions know some members of this region, not the groups' owners. */
    bool relaysFor(const GroupName& group, const NodeName& forwarder) const override;

    /** @return what this node does for a group in the current view. */
    contract::OwnerRole roleOf(const GroupName& group) const;

    /** @return the owners of a group with their roles in the current view. */
    std::vector<zone::Owner> ownersWithRoles(const GroupName& group) const;

private:
    void assignAll();
    GroupAssignment assignmentOf(const settings::GroupSettings& settings);

    NodeName _self;
    const zone::Membership& _membership;
    peer::PeerTransport& _transport;
    peer::PeerService& _peers;
    GroupRuntimes& _runtimes;
    /** Placement caches; a lookup changes nothing that can be observed. */
    mutable zone::Placement _placement;
    std::uint64_t _assignedView = 0;
    settings::SettingsViewPointer _settings;
    /** Requests of all groups, so that a lookup does not resolve the settings again. */
    std::map<GroupName, zone::PlacementRequest> _requests;
};

}  // namespace coralhoist::duty
