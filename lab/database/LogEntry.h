/** The replication log. */
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "base/OpTime.h"
#include "lab/database/SqlValue.h"
#include "lab/database/StatementAnalysis.h"

namespace coralhoist::lab::database {

/** One statement of a committed transaction with all that its effect depends on. */
struct LoggedStatement {
    StatementPointer statement;
    std::vector<SqlValue> parameters;
    /** Seed of random() and gen_random_uuid(). */
    std::uint64_t randomSeed = 0;
};

/** One committed transaction, or an empty entry that opens a term. */
struct LogEntry {
    /** Term of the primary that wrote it, and the position of its end. */
    OpTime opTime;
    /** Position of the entry before. */
    LogPosition previous = 0;
    /** now() of the transaction, in microseconds since 1970. */
    std::int64_t nowMicroseconds = 0;
    std::vector<LoggedStatement> statements;
};

using LogEntryPointer = std::shared_ptr<const LogEntry>;

/**
 * The latest entries of a server's log. Older ones are forgotten; a server that needs them copies
 * the whole database instead.
 */
class ReplicationLog {
public:
    /** @param start what precedes the first entry. */
    explicit ReplicationLog(OpTime start) : _start(start) {}

    /** @return the end of the log. */
    OpTime end() const { return _entries.empty() ? _start : _entries.back()->opTime; }

    /** @param entry follows the end of the log. */
    void append(LogEntryPointer entry);

    /** @return whether an entry, or the start of the log, ends at this point of the history. */
    bool contains(OpTime opTime) const;

    /**
     * @param position one at which an entry, or the start of the log, ends.
     * @return the entry that follows, or null at the end of the log.
     */
    LogEntryPointer after(LogPosition position) const;

private:
    OpTime _start;
    std::deque<LogEntryPointer> _entries;
};

}  // namespace coralhoist::lab::database
