/** Histories of a simulated database group as a tree of entries. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/OpTime.h"

namespace coralhoist::simulation {

/** Number of one write of the workload; a write appends its number to the data. */
using WriteNumber = std::uint64_t;

/** A row of the table of request keys. */
struct KeyRow {
    std::string service;
    std::string key;
    std::string fingerprint;
    std::optional<std::string> outcome;
};

/** What one transaction changes. */
struct Changes {
    std::vector<WriteNumber> writes;
    std::vector<KeyRow> keys;
    bool createsKeyTable = false;

    bool empty() const { return writes.empty() && keys.empty() && !createsKeyTable; }
};

/** One committed transaction and all before it. Servers share entries; a log is its last entry. */
struct LogEntry {
    std::shared_ptr<const LogEntry> previous;
    Term term = 0;
    LogPosition position = 0;
    Changes changes;
    /** Whether this entry or one before it creates the table of request keys. */
    bool hasKeyTable = false;
};

using LogHead = std::shared_ptr<const LogEntry>;

/** @return a log with one more entry. */
inline LogHead append(const LogHead& head, Term term, Changes changes) {
    const bool hasKeyTable = head->hasKeyTable || changes.createsKeyTable;
    return std::make_shared<LogEntry>(
        LogEntry{head, term, head->position + 1, std::move(changes), hasKeyTable});
}

/** @return the part of a log up to a position. */
inline LogHead prefix(LogHead head, LogPosition position) {
    while (head->position > position) {
        head = head->previous;
    }
    return head;
}

/** @return all writes of a log, oldest first. */
std::vector<WriteNumber> writesOf(const LogHead& head);

/** @return whether a log holds a write; looks from its end. */
bool holdsWrite(const LogHead& head, WriteNumber write);

/** @return the row of a key. */
std::optional<KeyRow> findKey(const LogHead& head, const std::string& service,
                              const std::string& key);

/** Frees a log entry by entry; the chained destructors of a long one would exhaust the stack. */
void releaseLog(LogHead head);

}  // namespace coralhoist::simulation
