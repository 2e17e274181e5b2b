/** Limits of the operator protocol, the same on both sides. */
#pragma once

#include <cstddef>
#include <cstdint>

namespace coralhoist::operators {

/** Largest message in bytes. */
constexpr std::uint32_t kLargestMessage = 4U << 20U;
/** Connections of operators that one proxy serves at once. */
constexpr std::size_t kMostConnections = 64;
/** Requests of one connection that are unanswered at once, watches included. */
constexpr std::size_t kMostRequestsInFlight = 64;
/** An operator that leaves more bytes than this unread is disconnected. */
constexpr std::int64_t kMostUnreadBytes = 16LL << 20U;

}  // namespace coralhoist::operators
