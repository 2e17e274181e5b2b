/** Limits background traffic on the link between regions. */
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/Time.h"
#include "locality/RegionTraffic.h"

namespace coralhoist::locality {

/**
 * Limits traffic that can be dropped to a part of the traffic that must cross: the rate of the link
 * is not known, and load reports between executors grow with the square of their number. Each
 * second allows a part of the bytes that statements and their answers took in the second before,
 * and a small minimum where they took none.
 */
class BackgroundShare {
public:
    /** @param traffic the traffic of this node; outlives this object. */
    explicit BackgroundShare(const RegionTraffic& traffic) : _traffic(traffic) {}

    /** @return whether this many bytes may be sent now; if so, they count as sent. */
    bool take(std::size_t bytes, TimePoint now);

    /** @return how often a message was not allowed. */
    std::uint64_t keptBack() const { return _keptBack; }

private:
    std::uint64_t foreground() const;

    const RegionTraffic& _traffic;
    TimePoint _windowSince{};
    std::uint64_t _foregroundBefore = 0;
    std::uint64_t _allowed = 0;
    std::uint64_t _used = 0;
    std::uint64_t _keptBack = 0;
};

}  // namespace coralhoist::locality
