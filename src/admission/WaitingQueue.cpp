#include "admission/WaitingQueue.h"

#include <algorithm>
#include <iterator>

namespace coralhoist::admission {
namespace {

/** Upper bound of the slot time reserved for one rank. It covers the longest statements; a higher
 * bound would delay the first rank once a rank that could not be placed becomes placeable. */
constexpr Duration kMaxReserve = std::chrono::milliseconds(200);

constexpr std::uint32_t kWhole = 100;

}  // namespace

void WaitingQueue::add(const WaitingStatement& statement) {
    remove(statement.session);
    const Entry entry{statement, ++_lastNumber};
    RankQueue& rank = _ranks[statement.rank];
    rank.onTime.add(statement.flow, waitingOf(entry));
    rank.lateFrom.emplace(lateFrom(statement), statement.session);
    _entries.emplace(statement.session, entry);
}

void WaitingQueue::remove(SessionId session) {
    const auto found = _entries.find(session);
    if (found == _entries.end()) {
        return;
    }
    const std::uint32_t rank = found->second.statement.rank;
    take(found->second);
    _entries.erase(found);
    if (_ranks[rank].size() == 0) {
        _ranks.erase(rank);
    }
}

void WaitingQueue::placed(SessionId session) {
    const auto found = _entries.find(session);
    if (found == _entries.end()) {
        return;
    }
    const WaitingStatement& statement = found->second.statement;
    _ranks[statement.rank].onTime.charge(statement.flow, statement.slotTime);
    chargeRank(statement.rank, FairShares::chargeOf(statement.slotTime));
    remove(session);
}

std::vector<SessionId> WaitingQueue::order(TimePoint now) const {
    moveLate(now);
    std::vector<SessionId> sessions;
    sessions.reserve(_entries.size());
    auto reservedEnd = std::ptrdiff_t{0};
    for (const auto& [number, rank] : _ranks) {
        const std::size_t from = sessions.size();
        rank.onTime.appendOrder(sessions);
        for (const Arrival& arrival : rank.late) {
            sessions.push_back(arrival.second);
        }
        const std::size_t reserved = reservedCount(rank, sessions, from);
        if (reserved > 0) {
            const auto first = sessions.begin() + static_cast<std::ptrdiff_t>(from);
            const auto end = first + static_cast<std::ptrdiff_t>(reserved);
            std::rotate(sessions.begin() + reservedEnd, first, end);
            reservedEnd += static_cast<std::ptrdiff_t>(reserved);
        }
    }
    return sessions;
}

std::size_t WaitingQueue::sizeOf(std::uint32_t rank) const {
    const auto found = _ranks.find(rank);
    return found == _ranks.end() ? 0 : found->second.size();
}

FairShares::Waiting WaitingQueue::waitingOf(const Entry& entry) {
    return {entry.statement.slotTime, entry.number, entry.statement.session};
}

TimePoint WaitingQueue::lateFrom(const WaitingStatement& statement) {
    return statement.arrivedAt + statement.onTimeFor;
}

/** Removes the statement from its rank. */
void WaitingQueue::take(const Entry& entry) {
    RankQueue& rank = _ranks[entry.statement.rank];
    const SessionId session = entry.statement.session;
    if (rank.lateFrom.erase({lateFrom(entry.statement), session}) > 0) {
        rank.onTime.remove(entry.statement.flow, waitingOf(entry));
        return;
    }
    const Arrival arrival{entry.number, session};
    rank.late.erase(std::ranges::lower_bound(rank.late, arrival));
}

/** Accounts for slot time given to a rank: each queued rank behind the first gets its part of it
 * reserved. */
void WaitingQueue::chargeRank(std::uint32_t rank, Duration slotTime) {
    if (_minimumShare == 0 || _ranks.size() < 2) {
        return;
    }
    const Duration part = slotTime * _minimumShare / (kWhole * (_ranks.size() - 1));
    for (auto each = std::next(_ranks.begin()); each != _ranks.end(); ++each) {
        const Duration used = each->first == rank ? slotTime : Duration(0);
        each->second.reserved =
            std::clamp(each->second.reserved + part - used, Duration(0), kMaxReserve);
    }
}

/** Moves statements that are no longer on time behind those that are. */
void WaitingQueue::moveLate(TimePoint now) const {
    for (auto& [number, rank] : _ranks) {
        while (!rank.lateFrom.empty() && rank.lateFrom.begin()->first <= now) {
            const SessionId session = rank.lateFrom.begin()->second;
            const Entry& entry = _entries.at(session);
            rank.lateFrom.erase(rank.lateFrom.begin());
            rank.onTime.remove(entry.statement.flow, waitingOf(entry));
            const Arrival arrival{entry.number, session};
            rank.late.insert(std::ranges::lower_bound(rank.late, arrival), arrival);
        }
    }
}

/**
 * @return how many of the rank's statements, starting at position `from`, its reserved slot time
 * covers.
 */
std::size_t WaitingQueue::reservedCount(const RankQueue& rank, const std::vector<SessionId>& order,
                                        std::size_t from) const {
    Duration left = rank.reserved;
    std::size_t count = 0;
    while (left > Duration(0) && from + count < order.size()) {
        const Entry& next = _entries.at(order[from + count]);
        const Duration charge = FairShares::chargeOf(next.statement.slotTime);
        if (left < std::min(charge, kMaxReserve)) {
            break;
        }
        left -= charge;
        ++count;
    }
    return count;
}

}  // namespace coralhoist::admission
