#include "lab/soak/EvacuationJudge.h"

#include <algorithm>
#include <chrono>

namespace coralhoist::soak {
namespace {

std::string describe(const ZoneName& zone, std::size_t late, Duration latest) {
    return "EVAC: " + std::to_string(late) + " statements reached zone " + zone.value() +
           ", the last one " +
           std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(latest).count()) +
           " ms after it had to be empty";
}

}  // namespace

void EvacuationJudge::onAsked(const ZoneName& zone, TimePoint now) {
    Asked asked;
    if (!_away) {
        asked.emptyFrom = now + _bound;
    }
    _asked.emplace(zone, asked);
}

void EvacuationJudge::onTakenBack(const ZoneName& zone, TimePoint now) {
    const auto found = _asked.find(zone);
    if (found != _asked.end()) {
        close(zone, found->second, now);
        _asked.erase(found);
    }
}

void EvacuationJudge::close(const ZoneName& zone, const Asked& asked, TimePoint now) {
    _judged += mustBeEmpty(asked, now) ? 1 : 0;
    if (asked.late > 0) {
        _violations.push_back(describe(zone, asked.late, asked.latest));
    }
}

void EvacuationJudge::onStoreAway(bool away, TimePoint now) {
    _away = away;
    for (auto& [zone, asked] : _asked) {
        if (mustBeEmpty(asked, now)) {
            continue;
        }
        asked.emptyFrom = away ? std::nullopt : std::optional<TimePoint>(now + _bound);
    }
}

void EvacuationJudge::onStatement(const ZoneName& zone, TimePoint now) {
    const auto found = _asked.find(zone);
    if (found != _asked.end() && mustBeEmpty(found->second, now)) {
        ++found->second.late;
        found->second.latest = now - *found->second.emptyFrom;
    }
}

std::vector<std::string> EvacuationJudge::violations() const {
    std::vector<std::string> violations = _violations;
    for (const auto& [zone, asked] : _asked) {
        if (asked.late > 0) {
            violations.push_back(describe(zone, asked.late, asked.latest));
        }
    }
    return violations;
}

}  // namespace coralhoist::soak
