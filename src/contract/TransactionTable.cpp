#include "contract/TransactionTable.h"

#include <algorithm>

namespace coralhoist::contract {
namespace {

TimePoint expiryOf(const Transaction& transaction) {
    if (transaction.running) {
        return transaction.totalDeadline;
    }
    return std::min(transaction.totalDeadline, transaction.lastActivity + transaction.idleTimeout);
}

}  // namespace

Transaction& TransactionTable::add(Transaction transaction) {
    transaction.id = TransactionId(++_lastId);
    const TransactionId id = transaction.id;
    return _transactions.emplace(id, std::move(transaction)).first->second;
}

Transaction* TransactionTable::find(TransactionId id) {
    const auto found = _transactions.find(id);
    return found == _transactions.end() ? nullptr : &found->second;
}

std::vector<TransactionId> TransactionTable::ofSession(SessionId session) const {
    std::vector<TransactionId> found;
    for (const auto& [id, transaction] : _transactions) {
        if (transaction.session == session) {
            found.push_back(id);
        }
    }
    std::ranges::sort(found);
    return found;
}

void TransactionTable::onConnectionLost(ConnectionId connection) {
    for (auto& [id, transaction] : _transactions) {
        if (transaction.connection == connection) {
            transaction.connection.reset();
            transaction.unreportedReason = Refusal::TransactionConnectionLost;
        }
    }
}

std::vector<ExpiredTransaction> TransactionTable::expired(TimePoint now) const {
    std::vector<ExpiredTransaction> found;
    for (const auto& [id, transaction] : _transactions) {
        if (transaction.isOpen() && now >= expiryOf(transaction)) {
            const bool total = now >= transaction.totalDeadline;
            found.push_back(
                {id, total ? Refusal::TransactionTimedOut : Refusal::IdleTransactionTimedOut});
        }
    }
    std::ranges::sort(found, {}, &ExpiredTransaction::id);
    return found;
}

std::optional<TimePoint> TransactionTable::nextExpiry() const {
    std::optional<TimePoint> next;
    for (const auto& [id, transaction] : _transactions) {
        if (transaction.isOpen()) {
            const TimePoint due = expiryOf(transaction);
            next = next ? std::min(*next, due) : due;
        }
    }
    return next;
}

std::size_t TransactionTable::openCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        _transactions, [](const auto& entry) { return entry.second.isOpen(); }));
}

}  // namespace coralhoist::contract
