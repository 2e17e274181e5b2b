/** Load of a node on the servers of a zone. */
#pragma once

#include <cstdint>

namespace coralhoist::pooling {

/** All members are gauges. */
struct ZoneLoad {
    /** Statements that were sent and have no response yet. */
    std::uint64_t inFlight = 0;
    /** Transactions that are open in the zone. */
    std::uint64_t transactions = 0;
    /** Groups whose current primary is in the zone. */
    std::uint64_t primaries = 0;

    bool isEmpty() const { return inFlight == 0 && transactions == 0 && primaries == 0; }
};

}  // namespace coralhoist::pooling
