/** Reports evacuations to operators, and determines when verdicts change by time alone. */
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/Time.h"
#include "locality/EvacuatedZones.h"
#include "placement/EvacuationPolicy.h"
#include "pooling/ZoneLoad.h"

namespace coralhoist::placement {

/** Gauges of an evacuated zone. */
struct EvacuationGauge {
    /** Statements of this node that are not answered yet, open transactions in the zone, and groups
     * whose primary is in the zone. */
    pooling::ZoneLoad load;
    /** Statements sent to the zone since its evacuation began. */
    std::uint64_t sent = 0;
    bool closed = false;
};

/**
 * Logs one line per evacuation when it begins, closes, is empty for the first time, and ends. A
 * zone is empty when this node has no statement or transaction there any more and knows of no
 * primary there.
 */
class EvacuationProgress {
public:
    using Loads = std::map<ZoneName, pooling::ZoneLoad>;

    /** @param loads returns the load of this node in each zone. References outlive the progress. */
    EvacuationProgress(const locality::EvacuatedZones& zones, EvacuationPolicy& policy,
                       std::function<Loads()> loads)
        : _zones(zones), _policy(policy), _loads(std::move(loads)) {}

    /** @return whether an evacuation began, closed its zone or ended since the last call. */
    bool advance(TimePoint now);

    /** @return when advance must be called next. */
    std::optional<TimePoint> nextTick() const;

    /** @return the present gauges of all evacuated zones. */
    std::map<ZoneName, EvacuationGauge> gauges(TimePoint now) const;

private:
    /** The state of an evacuation that has been logged. */
    struct ReportedState {
        locality::Evacuation evacuation;
        bool closed = false;
        bool empty = false;
    };

    bool reportEnded(TimePoint now);
    bool reportBegun(TimePoint now);
    bool reportClosed(TimePoint now, const Loads& loads);
    void reportEmpty(TimePoint now, const Loads& loads);
    bool isEveryZoneEmpty() const;

    const locality::EvacuatedZones& _zones;
    EvacuationPolicy& _policy;
    std::function<Loads()> _loads;
    std::map<ZoneName, ReportedState> _reported;
    std::uint64_t _seenChanges = 0;
    TimePoint _nextCheck{};
};

}  // namespace coralhoist::placement
