/** Bundles the state, the placement policy and the reporting of a node's evacuations. */
#pragma once

#include <functional>

#include "placement/EvacuationPolicy.h"
#include "placement/EvacuationProgress.h"

namespace coralhoist::placement {

/** Created where the platform stores evacuations. */
struct ZoneEvacuation {
    /** @param loads see EvacuationProgress. */
    ZoneEvacuation(const Clock& clock, Duration bound,
                   std::function<EvacuationProgress::Loads()> loads)
        : zones(bound), policy(clock, zones), progress(zones, policy, std::move(loads)) {}

    ZoneEvacuation(const ZoneEvacuation&) = delete;
    ZoneEvacuation& operator=(const ZoneEvacuation&) = delete;

    locality::EvacuatedZones zones;
    EvacuationPolicy policy;
    EvacuationProgress progress;
};

}  // namespace coralhoist::placement
