/** This node's part of the limited request rate of a cold server. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::warmup {

/** Requests that are to be sent. */
struct UnitDemand {
    /** Number of units that must be available. */
    std::uint32_t count = 1;
    /** Rank of the requests' service; lower ranks go first. */
    std::uint32_t rank = 0;
};

/** Whether the requests may be sent. */
struct UnitAvailability {
    bool isAvailable = false;
    /** If they may not be sent: expected time until they may. */
    Duration expectedIn{0};
};

/** Leased parts of a rate limit that all nodes together observe. The units that a node holds expire
 * by themselves; a node without units sends nothing. No method blocks. */
class RequestUnits {
public:
    virtual ~RequestUnits() = default;

    /** Requests units if too few are available. @return whether enough are available. */
    virtual UnitAvailability look(const GroupName& group, const ServerName& server,
                                  const UnitDemand& demand) = 0;

    /** Consumes one unit for a request that is sent now. @return whether there was one. */
    virtual bool take(const GroupName& group, const ServerName& server) = 0;
};

}  // namespace coralhoist::warmup
