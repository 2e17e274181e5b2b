#include "lab/database/LogEntry.h"

#include <algorithm>
#include <utility>

namespace coralhoist::lab::database {
namespace {

constexpr std::size_t kKeptEntries = 100'000;

bool endsBefore(const LogEntryPointer& entry, LogPosition position) {
    return entry->opTime.position < position;
}

}  // namespace

void ReplicationLog::append(LogEntryPointer entry) {
    _entries.push_back(std::move(entry));
    if (_entries.size() > kKeptEntries) {
        _start = _entries.front()->opTime;
        _entries.pop_front();
    }
}

bool ReplicationLog::contains(OpTime opTime) const {
    if (opTime == _start) {
        return true;
    }
    const auto found =
        std::lower_bound(_entries.begin(), _entries.end(), opTime.position, endsBefore);
    return found != _entries.end() && (*found)->opTime == opTime;
}

LogEntryPointer ReplicationLog::after(LogPosition position) const {
    const auto found = std::lower_bound(_entries.begin(), _entries.end(), position + 1, endsBefore);
    return found == _entries.end() ? nullptr : *found;
}

}  // namespace coralhoist::lab::database
