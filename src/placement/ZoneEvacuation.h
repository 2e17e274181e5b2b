/** The evacuations of one node: what is known of them, what they rule out, what is told of them. */
#pragma once

#include <functional>

#include "placement/EvacuationPolicy.h"
#include "placement/EvacuationProgress.h"

namespace coralhoist::placement {

/** Made where the platform keeps evacuations. */
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
