/** Position in a database group's history. */
#pragma once

#include <compare>
#include <cstdint>

namespace coralhoist {

/** Number of a primary's reign; PostgreSQL's timeline. Grows with each election. */
using Term = std::uint64_t;

/** Byte position in the log; PostgreSQL's LSN. */
using LogPosition = std::uint64_t;

/**
 * A point in a group's history. Ordered by term, then position: an election picks the most advanced
 * server of a majority, so all that was acknowledged in an earlier term precedes every later term.
 */
struct OpTime {
    Term term = 0;
    LogPosition position = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter misreads the generated comparison.
    auto operator<=>(const OpTime&) const = default;
};

}  // namespace coralhoist
