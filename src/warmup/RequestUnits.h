/** The few requests that a cold server takes from all nodes together, as one node gets them. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::warmup {

/** Requests that are to be sent. */
struct RequestWish {
    /** So many must be at hand. */
    std::uint32_t count = 1;
    /** Rank of their service; lower ones go first. */
    std::uint32_t rank = 0;
};

/** Whether they may be sent. */
struct RequestProspect {
    bool isAtHand = false;
    /** Else: expected time until they may be. */
    Duration expectedIn{0};
};

/**
 * Leased parts of a rate that all nodes keep together. What this node holds ends by itself; who
 * holds nothing sends nothing. No method blocks.
 */
class RequestUnits {
public:
    virtual ~RequestUnits() = default;

    /** Asks for units if too few are at hand. @return whether they are. */
    virtual RequestProspect look(const GroupName& group, const ServerName& server,
                                 const RequestWish& wish) = 0;

    /** Uses one unit, for a request that is sent now. @return whether there was one. */
    virtual bool take(const GroupName& group, const ServerName& server) = 0;
};

}  // namespace coralhoist::warmup
