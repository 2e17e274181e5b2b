#include "placement/EvacuationProgress.h"

#include <algorithm>
#include <chrono>

#include "base/Log.h"

namespace coralhoist::placement {
namespace {

/** Interval at which a zone is checked while it is not empty. */
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

auto milliseconds(Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

pooling::ZoneLoad loadIn(const EvacuationProgress::Loads& loads, const ZoneName& zone) {
    const auto found = loads.find(zone);
    return found == loads.end() ? pooling::ZoneLoad{} : found->second;
}

}  // namespace

bool EvacuationProgress::advance(TimePoint now) {
    if (_zones.zones().empty() && _reported.empty()) {
        _seenChanges = _zones.changes();
        return false;
    }
    // A zone that was released and evacuated again counts as one evacuation ended and one begun.
    const bool ended = reportEnded(now);
    const bool begun = reportBegun(now);
    _seenChanges = _zones.changes();
    const Loads loads = _loads();
    const bool closed = reportClosed(now, loads);
    reportEmpty(now, loads);
    _nextCheck = now + kCheckInterval;
    return ended || begun || closed;
}

bool EvacuationProgress::reportEnded(TimePoint now) {
    return std::erase_if(_reported, [this, now](const auto& entry) {
               const auto& [zone, reported] = entry;
               const auto found = _zones.zones().find(zone);
               const bool goesOn = found != _zones.zones().end() &&
                                   found->second.learnedAt == reported.evacuation.learnedAt;
               if (!goesOn) {
                   LogEvent("evacuation", LogLevel::Info, "evacuation.ended")
                       .field("zone", zone)
                       .field("lasted_ms", milliseconds(now - reported.evacuation.learnedAt))
                       .field("was_empty", reported.empty)
                       .field("statements", _policy.trafficOf(zone).sent);
               }
               return !goesOn;
           }) > 0;
}

bool EvacuationProgress::reportBegun(TimePoint now) {
    bool begun = false;
    for (const auto& [zone, evacuation] : _zones.zones()) {
        if (_reported.emplace(zone, ReportedState{evacuation}).second) {
            begun = true;
            _policy.resetTraffic(zone);
            LogEvent("evacuation", LogLevel::Info, "evacuation.begun")
                .field("zone", zone)
                .field("closes_in_ms", milliseconds(std::max(evacuation.closesAt - now, {})));
        }
    }
    return begun;
}

bool EvacuationProgress::reportClosed(TimePoint now, const Loads& loads) {
    bool closed = false;
    for (auto& [zone, reported] : _reported) {
        if (reported.closed || now < reported.evacuation.closesAt) {
            continue;
        }
        reported.closed = true;
        closed = true;
        const pooling::ZoneLoad load = loadIn(loads, zone);
        LogEvent("evacuation", LogLevel::Info, "evacuation.closed")
            .field("zone", zone)
            .field("after_ms", milliseconds(now - reported.evacuation.learnedAt))
            .field("in_flight", load.inFlight)
            .field("transactions", load.transactions)
            .field("primaries", load.primaries);
    }
    return closed;
}

void EvacuationProgress::reportEmpty(TimePoint now, const Loads& loads) {
    for (auto& [zone, reported] : _reported) {
        if (reported.empty || !loadIn(loads, zone).isEmpty()) {
            continue;
        }
        reported.empty = true;
        const EvacuatedTraffic traffic = _policy.trafficOf(zone);
        const TimePoint last = std::max(traffic.lastSentAt, reported.evacuation.learnedAt);
        LogEvent("evacuation", LogLevel::Info, "evacuation.empty")
            .field("zone", zone)
            .field("after_ms", milliseconds(now - reported.evacuation.learnedAt))
            .field("last_statement_after_ms", milliseconds(last - reported.evacuation.learnedAt))
            .field("statements", traffic.sent);
    }
}

bool EvacuationProgress::isEveryZoneEmpty() const {
    return std::all_of(_reported.begin(), _reported.end(),
                       [](const auto& entry) { return entry.second.empty && entry.second.closed; });
}

std::optional<TimePoint> EvacuationProgress::nextTick() const {
    if (_seenChanges != _zones.changes()) {
        return TimePoint::min();
    }
    std::optional<TimePoint> next;
    for (const auto& [zone, reported] : _reported) {
        if (!reported.closed) {
            next =
                std::min(next.value_or(reported.evacuation.closesAt), reported.evacuation.closesAt);
        }
    }
    if (!_reported.empty() && !isEveryZoneEmpty()) {
        next = std::min(next.value_or(_nextCheck), _nextCheck);
    }
    return next;
}

std::map<ZoneName, EvacuationGauge> EvacuationProgress::gauges(TimePoint now) const {
    std::map<ZoneName, EvacuationGauge> gauges;
    if (_zones.zones().empty()) {
        return gauges;
    }
    const Loads loads = _loads();
    for (const auto& [zone, evacuation] : _zones.zones()) {
        gauges[zone] = {loadIn(loads, zone), _policy.trafficOf(zone).sent,
                        now >= evacuation.closesAt};
    }
    return gauges;
}

}  // namespace coralhoist::placement
