/** Counts how often statements stay in the region of the node that executes them. */
#pragma once

#include <cstdint>

#include "locality/RegionMap.h"
#include "pooling/PlacementPolicy.h"

namespace coralhoist::placement {

/** Restricts nothing; counts statements by the region that they are sent to. */
class RegionUse final : public pooling::PlacementPolicy {
public:
    RegionUse(const locality::RegionMap& regions, const ZoneName& zone)
        : _regions(regions), _zone(zone) {}

    pooling::PlacementVerdict mayBegin(const pooling::PlacedUnit& /*unit*/,
                                       const pooling::PlacedServer& /*server*/) override {
        return pooling::PlacementVerdict::allowed();
    }
    pooling::PlacementVerdict mayContinue(const pooling::PlacedUnit& /*unit*/,
                                          const pooling::PlacedServer& /*server*/) override {
        return pooling::PlacementVerdict::allowed();
    }
    bool mayForwardTo(const pooling::PlacedUnit& /*unit*/, const ZoneName& /*zone*/) override {
        return true;
    }
    void noteSent(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server) override;

    std::uint64_t readsHere() const { return _replicas.here; }
    std::uint64_t readsElsewhere() const { return _replicas.elsewhere; }
    std::uint64_t primaryHere() const { return _primaries.here; }
    std::uint64_t primaryElsewhere() const { return _primaries.elsewhere; }

private:
    struct Counter {
        std::uint64_t here = 0;
        std::uint64_t elsewhere = 0;
    };

    locality::RegionMap _regions;
    ZoneName _zone;
    Counter _replicas;
    Counter _primaries;
};

}  // namespace coralhoist::placement
