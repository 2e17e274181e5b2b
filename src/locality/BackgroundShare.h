/** What of the link between regions may be used for what nobody waits for. */
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/Time.h"
#include "locality/RegionTraffic.h"

namespace coralhoist::locality {

/**
 * Bounds what can be dropped to a part of what must cross: the rate of the link is not known, and
 * reports between executors grow with the square of their number. Each second has a part of what
 * statements and their answers took in the one before, and a little where they took nothing.
 */
class BackgroundShare {
public:
    /** @param traffic of this node; outlives the share. */
    explicit BackgroundShare(const RegionTraffic& traffic) : _traffic(traffic) {}

    /** @return whether so many bytes may be sent now; they are taken for sent. */
    bool take(std::size_t bytes, TimePoint now);

    /** @return how often something was kept back. */
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
