#include "lab/contract/ReplicatedLog.h"

#include <algorithm>

namespace coralhoist::simulation {

std::vector<WriteNumber> writesOf(const LogHead& head) {
    std::vector<WriteNumber> writes;
    for (const LogEntry* entry = head.get(); entry != nullptr; entry = entry->previous.get()) {
        const std::vector<WriteNumber>& own = entry->changes.writes;
        writes.insert(writes.end(), own.rbegin(), own.rend());
    }
    std::ranges::reverse(writes);
    return writes;
}

std::optional<KeyRow> findKey(const LogHead& head, const std::string& service,
                              const std::string& key) {
    for (const LogEntry* entry = head.get(); entry != nullptr; entry = entry->previous.get()) {
        for (const KeyRow& row : entry->changes.keys) {
            if (row.service == service && row.key == key) {
                return row;
            }
        }
    }
    return std::nullopt;
}

bool holdsWrite(const LogHead& head, WriteNumber write) {
    for (const LogEntry* entry = head.get(); entry != nullptr; entry = entry->previous.get()) {
        if (std::ranges::find(entry->changes.writes, write) != entry->changes.writes.end()) {
            return true;
        }
    }
    return false;
}

void releaseLog(LogHead head) {
    // The previous entry is held while its successor goes, so that no destructor recurses.
    while (head && head.use_count() == 1) {
        LogHead previous = head->previous;
        head = std::move(previous);
    }
}

}  // namespace coralhoist::simulation
