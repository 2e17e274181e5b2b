/** Statements of one group that wait for a server, and the order in which servers are offered. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::admission {

/** A statement that waits, as far as its order depends on it. */
struct WaitingStatement {
    SessionId session;
    /** Lower ranks go first. */
    std::uint32_t rank = 0;
    TimePoint arrivedAt{};
    /** Time from its arrival within which it still goes before those that are late. */
    Duration onTimeFor{0};
    /** Time for which it is expected to occupy a slot. */
    Duration slotTime{0};
};

/**
 * Answers an overload: more statements than the servers' slots can serve in time.
 *
 * Ranks go first. Within a rank, statements that can still meet their objective go before those
 * that have waited too long for that; otherwise an overload would make every statement late. Among
 * the former, those that occupy a slot for the least time go first, so that the fewest are left
 * unserved; the latter keep the order of their arrival.
 */
class WaitingQueue {
public:
    /** Adds the statement, in place of an earlier one of its session. */
    void add(const WaitingStatement& statement);

    void remove(SessionId session);

    /** @return the sessions in the order in which their statements are to be placed. */
    std::vector<SessionId> order(TimePoint now) const;

    bool empty() const { return _entries.empty(); }
    std::size_t size() const { return _entries.size(); }
    std::size_t sizeOf(std::uint32_t rank) const;

private:
    struct Entry {
        WaitingStatement statement;
        std::uint64_t number = 0;
    };

    std::unordered_map<SessionId, Entry> _entries;
    /** Numbers entries in the order in which they were added. */
    std::uint64_t _lastNumber = 0;
};

}  // namespace coralhoist::admission
