/** Statements of one group that wait for a server, and the order in which they are placed. */
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

/** The properties of a queued statement that its position depends on. */
struct WaitingStatement {
    SessionId session;
    /** Lower ranks are served first. */
    std::uint32_t rank = 0;
    TimePoint arrivedAt{};
    /** Time from arrival during which the statement precedes those that are late. */
    Duration onTimeFor{0};
    /** Time for which the statement is expected to occupy a slot. */
    Duration slotTime{0};
    /** Name of the flow that the statement belongs to; statements without a name form one flow. */
    std::string flow{};
};

/**
 * Orders the statements of an overloaded group, which has more statements than the servers' slots
 * can serve in time.
 *
 * Lower ranks go first. Within a rank, statements that can still meet their objective precede those
 * that have waited too long for that; otherwise an overload would make every statement late. The
 * statements that are on time are ordered by FairShares: flows share the slots, and within a flow
 * the smallest slot time goes first, so that the fewest statements are left unserved. Late
 * statements keep their order of arrival.
 *
 * Without a minimum share, a rank is served only when the ranks before it have no statement that
 * can be placed: a long wait alone does not move a statement forward. Such a statement could not be
 * answered in time anyway, and would make urgent ones late. With a minimum share, that part of the
 * placed slot time is reserved for the queued ranks behind the first, in equal parts: a rank goes
 * first as soon as its reserve covers its next statement.
 */
class WaitingQueue {
public:
    /** Reserves a part of the slot time, in percent, for the queued ranks behind the first. */
    void setMinimumShare(std::uint32_t percent) { _minimumShare = percent; }

    /** Adds the statement and replaces an earlier one of the same session. */
    void add(const WaitingStatement& statement);

    /** Removes the session's statement without charging its flow or rank. */
    void remove(SessionId session);

    /** Removes the session's statement, which was given a slot, and charges its flow and its rank.
     */
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
    /** A statement by its order of arrival. */
    using Arrival = std::pair<std::uint64_t, SessionId>;
    /** The queue of one rank. Removed with its last statement: no flow waits for its share then. */
    struct RankQueue {
        FairShares onTime;
        /** Sorted. */
        std::vector<Arrival> late;
        /** When each of the statements on time becomes late. */
        std::set<std::pair<TimePoint, SessionId>> lateFrom;
        /** Slot time reserved for the rank and not used yet. */
        Duration reserved{0};

        std::size_t size() const { return late.size() + lateFrom.size(); }
    };

    static FairShares::Waiting waitingOf(const Entry& entry);
    static TimePoint lateFrom(const WaitingStatement& statement);
    void take(const Entry& entry);
    void chargeRank(std::uint32_t rank, Duration slotTime);
    void moveLate(TimePoint now) const;
    std::size_t reservedCount(const RankQueue& rank, const std::vector<SessionId>& order,
                              std::size_t from) const;

    std::unordered_map<SessionId, Entry> _entries;
    /** Mutable because `order` moves statements that have become late behind those on time; callers
     * can't observe that change. */
    mutable std::map<std::uint32_t, RankQueue> _ranks;
    /** Numbers entries in the order in which they were added. */
    std::uint64_t _lastNumber = 0;
    std::uint32_t _minimumShare = 0;
};

}  // namespace coralhoist::admission
