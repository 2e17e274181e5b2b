/** Statements of one group that wait for a server, and the order in which servers are offered. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/FairShares.h"
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
    /** Name of the flow that it takes a turn of; statements without one are one flow. */
    std::string flow{};
};

/**
 * Answers an overload: more statements than the servers' slots can serve in time.
 *
 * Ranks go first. Within a rank, statements that can still meet their objective go before those
 * that have waited too long for that; otherwise an overload would make every statement late. Among
 * the former, flows take turns by FairShares, and of a flow those that occupy a slot for the least
 * time go first, so that the fewest are left unserved; the latter keep the order of their arrival.
 *
 * Without a minimum share, a rank is served when those before it have nothing that can be placed:
 * nothing goes first for having waited long. Its statements could not be answered in time anyway,
 * and would make urgent ones late. With a minimum share, that part of the slot time placed is kept
 * for the ranks that wait behind the first, in equal parts: a rank goes first as soon as its part
 * covers its next statement.
 */
class WaitingQueue {
public:
    /** Keeps a part of the slot time, in percent, for the ranks that wait behind the first. */
    void setMinimumShare(std::uint32_t percent) { _minimumShare = percent; }

    /** Adds the statement, in place of an earlier one of its session. */
    void add(const WaitingStatement& statement);

    /** The session's statement no longer waits and took nobody's turn. */
    void remove(SessionId session);

    /** The session's statement was given a slot: its flow and its rank are charged. */
    void placed(SessionId session);

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
    /** A statement in the order of arrival. */
    using Arrival = std::pair<std::uint64_t, SessionId>;
    /** What waits in one rank. Forgotten with its last statement: then nobody waits for a turn. */
    struct RankQueue {
        FairShares onTime;
        /** Sorted. */
        std::vector<Arrival> late;
        /** When each of those on time becomes late. */
        std::set<std::pair<TimePoint, SessionId>> lateFrom;
        /** Slot time kept for it and not used yet. */
        Duration kept{0};

        std::size_t size() const { return late.size() + lateFrom.size(); }
    };

    static FairShares::Waiting turnOf(const Entry& entry);
    static TimePoint lateFrom(const WaitingStatement& statement);
    void take(const Entry& entry);
    void chargeRank(std::uint32_t rank, Duration slotTime);
    void moveLate(TimePoint now) const;
    std::size_t keptTurns(const RankQueue& rank, const std::vector<SessionId>& order,
                          std::size_t from) const;

    std::unordered_map<SessionId, Entry> _entries;
    /** Changes within `order` by what has become late since, which no caller sees. */
    mutable std::map<std::uint32_t, RankQueue> _ranks;
    /** Numbers entries in the order in which they were added. */
    std::uint64_t _lastNumber = 0;
    std::uint32_t _minimumShare = 0;
};

}  // namespace coralhoist::admission
