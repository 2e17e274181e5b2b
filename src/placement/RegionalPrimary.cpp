#include "placement/RegionalPrimary.h"

#include <algorithm>

namespace coralhoist::placement {

using failover::LeadSuitability;
using pooling::ServerAnnouncement;

LeadSuitability RegionalPrimary::suitabilityOf(const GroupName& group,
                                               const ServerAnnouncement& server) const {
    const Servers& servers = _serversOf(group);
    const bool hasReplicaBeside =
        std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
            const pooling::ListedServer& other = entry.second;
            const bool stays = !other.removed && !other.announcement.draining;
            return stays && entry.first != server.address.server &&
                   _regions.areInOneRegion(server.zone, other.announcement.zone);
        });
    return hasReplicaBeside ? LeadSuitability::Preferred : LeadSuitability::Acceptable;
}

}  // namespace coralhoist::placement
