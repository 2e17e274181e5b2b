#include "contract/FloorHistory.h"

#include <algorithm>

namespace coralhoist::contract {
namespace {

constexpr std::size_t kMarksKept = 1024;
/**
 * Entries closer together than this are not stored, because callers can't notice such a small
 * difference in staleness.
 */
constexpr Duration kMarkSpacing = std::chrono::milliseconds(5);

}  // namespace

void FloorHistory::add(TimePoint moment, const OpTime& floor) {
    if (!_marks.empty() && moment < _marks.back().moment + kMarkSpacing) {
        return;
    }
    _marks.push_back({moment, floor});
    if (_marks.size() > kMarksKept) {
        _marks.pop_front();
    }
}

std::optional<OpTime> FloorHistory::floorWithin(Duration staleness, TimePoint now) const {
    const TimePoint oldest = now - staleness;
    const auto found = std::ranges::lower_bound(_marks, oldest, {}, &Mark::moment);
    if (found == _marks.end()) {
        return std::nullopt;
    }
    return found->floor;
}

std::optional<TimePoint> FloorHistory::caughtUpAt(const OpTime& replayed) const {
    for (auto mark = _marks.rbegin(); mark != _marks.rend(); ++mark) {
        if (replayed.term >= mark->floor.term && replayed.position >= mark->floor.position) {
            return mark->moment;
        }
    }
    return std::nullopt;
}

}  // namespace coralhoist::contract
