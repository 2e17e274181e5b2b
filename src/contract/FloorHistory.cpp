#include "contract/FloorHistory.h"

#include <algorithm>

namespace coralhoist::contract {
namespace {

constexpr std::size_t kMaxEntries = 1024;
/**
 * Entries closer together than this are not stored, because callers can't notice such a small
 * difference in staleness.
 */
constexpr Duration kMinEntryInterval = std::chrono::milliseconds(5);

}  // namespace

void FloorHistory::add(TimePoint moment, const OpTime& floor) {
    if (!_entries.empty() && moment < _entries.back().moment + kMinEntryInterval) {
        return;
    }
    _entries.push_back({moment, floor});
    if (_entries.size() > kMaxEntries) {
        _entries.pop_front();
    }
}

std::optional<OpTime> FloorHistory::floorWithin(Duration staleness, TimePoint now) const {
    const TimePoint oldest = now - staleness;
    const auto found = std::ranges::lower_bound(_entries, oldest, {}, &Entry::moment);
    if (found == _entries.end()) {
        return std::nullopt;
    }
    return found->floor;
}

std::optional<TimePoint> FloorHistory::caughtUpAt(const OpTime& replayed) const {
    for (auto entry = _entries.rbegin(); entry != _entries.rend(); ++entry) {
        if (replayed.term >= entry->floor.term && replayed.position >= entry->floor.position) {
            return entry->moment;
        }
    }
    return std::nullopt;
}

}  // namespace coralhoist::contract
