/** The read floor: the smallest point of the replicated history that a read must cover. */
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/OpTime.h"
#include "machine/ServerStatus.h"

namespace coralhoist::contract {

/**
 * Computes the read floor from one sample: the smallest point that provably covers every write that
 * was acknowledged before the sample began.
 *
 * Proof. Let n servers have majority m, and let k of them have answered, all after moment t. A
 * write (T, L) acknowledged before t had m servers in a term >= T with a position >= L. Terms never
 * decrease, and an acknowledged position is never given up, because every election includes a
 * server that has it. At most n - k of the m servers are missing from the sample. With
 * q = m - (n - k), at least q answers have a term >= T, and at least q have a position >= L: the
 * q-th largest term and the q-th largest position cover the write. The two are taken separately,
 * because a lagging server may already report the newest term.
 *
 * A former primary may report a long tail that no other server has. When the primary of the newest
 * term in the sample has answered, its position is an upper bound of the floor: this primary holds
 * every write acknowledged in its own term and in all earlier terms, and no later term has
 * acknowledged any write, or one of the k >= m answers would show that term.
 * @param answers statuses of distinct servers, each requested after the moment for which the floor
 * holds.
 * @param serverCount number of servers of the group.
 * @return the floor; empty when less than a majority has answered.
 */
std::optional<OpTime> computeReadFloor(const std::vector<machine::ServerStatus>& answers,
                                       std::size_t serverCount);

/**
 * @return whether a server in this state has replayed everything up to the floor. Its log is
 *         identical to the floor's log up to that point, because its term is at least the floor's.
 */
bool covers(const machine::ServerStatus& status, const OpTime& floor);

/** @return the smallest point that covers both floors. */
OpTime combineFloors(const OpTime& first, const OpTime& second);

}  // namespace coralhoist::contract
