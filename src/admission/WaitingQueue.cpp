#include "admission/WaitingQueue.h"

#include <algorithm>
#include <tuple>

namespace coralhoist::admission {

void WaitingQueue::add(const WaitingStatement& statement) {
    _entries.insert_or_assign(statement.session, Entry{statement, ++_lastNumber});
}

void WaitingQueue::remove(SessionId session) {
    _entries.erase(session);
}

std::vector<SessionId> WaitingQueue::order(TimePoint now) const {
    using Key = std::tuple<std::uint32_t, bool, Duration, std::uint64_t, SessionId>;
    std::vector<Key> keys;
    keys.reserve(_entries.size());
    for (const auto& [session, entry] : _entries) {
        const WaitingStatement& statement = entry.statement;
        const bool late = now - statement.arrivedAt >= statement.onTimeFor;
        keys.emplace_back(statement.rank, late, late ? Duration(0) : statement.slotTime,
                          entry.number, session);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<SessionId> sessions;
    sessions.reserve(keys.size());
    for (const Key& key : keys) {
        sessions.push_back(std::get<SessionId>(key));
    }
    return sessions;
}

std::size_t WaitingQueue::sizeOf(std::uint32_t rank) const {
    return static_cast<std::size_t>(
        std::count_if(_entries.begin(), _entries.end(),
                      [rank](const auto& entry) { return entry.second.statement.rank == rank; }));
}

}  // namespace coralhoist::admission
