/** Primaries stand where a commit needs not cross between regions. */
#pragma once

#include <functional>

#include "failover/PrimaryPlacement.h"
#include "locality/RegionMap.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::placement {

/**
 * A commit is answered when one replica has it, so that a primary whose replicas all stand in other
 * regions adds a round trip to each commit, and the log crosses once for each of them. Of equals
 * the successor is one that has a replica in its own region.
 *
 * A primary that leads without one stays: a planned move refuses the group's writes for the time of
 * a promotion, and a commit that takes a round trip longer is still one in time.
 */
class RegionalPrimary final : public failover::PrimaryPlacement {
public:
    using Servers = pooling::ServerDirectory::Servers;
    /** @return all servers of the group as they are listed now. */
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
