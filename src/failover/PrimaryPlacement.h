/** Where the primary of a group may run, and when it must move. */
#pragma once

#include "base/Identifier.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::failover {

/** How suitable a server is as the primary of its group, in descending order. */
enum class LeadSuitability {
    Preferred,
    Acceptable, /**< Farther away than another server, or not warmed up yet. */
    LastResort, /**< Leads only if no other server can, because it could not serve its callers. */
};

/** @return the name for log lines. */
const char* describe(LeadSuitability suitability);

/** One policy on where a primary should run. Called often; no method blocks. */
class PrimaryPlacement {
public:
    virtual ~PrimaryPlacement() = default;

    /** @return how suitable the server is as the group's primary. */
    virtual LeadSuitability suitabilityOf(const GroupName& group,
                                          const pooling::ServerAnnouncement& server) const = 0;

    /**
     * @return whether the server, which leads, must be replaced by a planned move as soon as a more
     * suitable server can lead.
     */
    virtual bool mustHandOver(const GroupName& group,
                              const pooling::ServerAnnouncement& server) const = 0;

    /**
     * @return whether mustHandOver may be true for any primary; false if nothing that could move a
     * primary is configured or in force.
     */
    virtual bool mayMovePrimaries() const { return true; }
};

}  // namespace coralhoist::failover
