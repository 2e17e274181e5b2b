/** What a node has at the servers of a zone. */
#pragma once

#include <cstdint>

namespace coralhoist::pooling {

/** All of them gauges. */
struct ZoneLoad {
    /** Statements that were sent and are not answered. */
    std::uint64_t inFlight = 0;
    /** Transactions that are open there. */
    std::uint64_t transactions = 0;
    /** Groups whose primary, as taken now, stands there. */
    std::uint64_t primaries = 0;

    bool isEmpty() const { return inFlight == 0 && transactions == 0 && primaries == 0; }
};

}  // namespace coralhoist::pooling
