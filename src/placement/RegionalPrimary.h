/** Prefers primaries whose commits need not cross between regions. */
#pragma once

#include <functional>

#include "failover/PrimaryPlacement.h"
#include "locality/RegionMap.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::placement {

/**
 * A commit is answered when one replica has it. A primary whose replicas are all in other regions
 * therefore adds a round trip between regions to each commit, and the log crosses between regions
 * once per replica. Among otherwise equal candidates the successor is one that has a replica in its
 * own region.
 *
 * A primary without such a replica is not moved: a planned move refuses the group's writes for the
 * duration of a promotion, while a commit that takes one round trip longer is still in time.
 */
class RegionalPrimary final : public failover::PrimaryPlacement {
public:
    using Servers = pooling::ServerDirectory::Servers;
    /** Returns all servers of the group that are listed at present. */
    using ServersOf = std::function<const Servers&(const GroupName&)>;

    RegionalPrimary(const locality::RegionMap& regions, ServersOf serversOf)
        : _regions(regions), _serversOf(std::move(serversOf)) {}

    failover::LeadSuitability suitabilityOf(
        const GroupName& group, const pooling::ServerAnnouncement& server) const override;

    bool mustHandOver(const GroupName& /*group*/,
                      const pooling::ServerAnnouncement& /*server*/) const override {
        return false;
    }
    bool mayMovePrimaries() const override { return false; }

private:
    locality::RegionMap _regions;
    ServersOf _serversOf;
};

}  // namespace coralhoist::placement
