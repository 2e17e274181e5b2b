/** Where the primary of a group may stand, and when it has to move. */
#pragma once

#include "base/Identifier.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::failover {

/** How well a server suits as the primary of its group; earlier ones go before later ones. */
enum class LeadSuitability {
    Preferred,
    Acceptable, /**< Farther away than another one, or not warm yet. */
    LastResort, /**< Only where no other server can lead: it could not serve its callers. */
};

/** @return a word for logs. */
const char* describe(LeadSuitability suitability);

/** One reason for which a primary should stand elsewhere. Asked often; no method blocks. */
class PrimaryPlacement {
public:
    virtual ~PrimaryPlacement() = default;

    /** @return how well the server suits as the group's primary. */
    virtual LeadSuitability suitabilityOf(const GroupName& group,
                                          const pooling::ServerAnnouncement& server) const = 0;

    /** @return whether the server, which leads, is to be replaced in a planned way as soon as a
     * server of a better suitability can lead. */
    virtual bool mustHandOver(const GroupName& group,
                              const pooling::ServerAnnouncement& server) const = 0;

    /** @return whether mustHandOver may be true for any primary; false where nothing that could
     * move one is configured or in force. */
    virtual bool mayMovePrimaries() const { return true; }
};

}  // namespace coralhoist::failover
