/** Open transactions and the connections pinned to them. */
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"
#include "contract/ConnectionPool.h"
#include "contract/Refusals.h"

namespace coralhoist::contract {

/** One open transaction. */
struct Transaction {
    TransactionId id;
    SessionId session;
    ServerName server;
    /** The pinned connection; empty after the proxy has rolled the transaction back. */
    std::optional<ConnectionId> connection;
    /** Term in which the transaction began; 0 on a replica. */
    Term term = 0;
    bool onReplica = false;
    /** Unfinished implicit transaction of a batch that ended with Flush. */
    bool implicit = false;
    bool failed = false;
    bool hasWrites = false;
    /** The session state may have changed, so the connection is reset after the transaction. */
    bool changesSession = false;
    /**
     * Why the proxy rolled the transaction back, until the reason has been reported to the caller.
     */
    std::optional<Refusal> unreportedReason;
    /** Request that currently runs in the transaction. */
    std::optional<RequestId> running;
    ConnectionPool::Parameters parameters;
    Duration idleTimeout{0};
    TimePoint totalDeadline{};
    TimePoint lastActivity{};
    std::optional<OpTime> floor;

    bool isOpen() const { return connection.has_value(); }

    /** @return the status reported to the caller; an implicit transaction is reported as idle. */
    TransactionStatus status() const {
        if (implicit) {
            return TransactionStatus::Idle;
        }
        return failed || !isOpen() ? TransactionStatus::Failed : TransactionStatus::InTransaction;
    }
};

/** A transaction that exceeded its idle or total time limit. */
struct ExpiredTransaction {
    TransactionId id;
    Refusal reason = Refusal::IdleTransactionTimedOut;
};

/**
 * The transactions of one executor. A transaction that the proxy had to roll back stays as a
 * tombstone, so that further statements of the session are refused until the session ends the
 * transaction.
 */
class TransactionTable {
public:
    /** Adds a transaction and assigns its identifier. */
    Transaction& add(Transaction transaction);

    Transaction* find(TransactionId id);
    void erase(TransactionId id) { _transactions.erase(id); }

    std::vector<TransactionId> ofSession(SessionId session) const;

    /**
     * Handles the loss of the pinned connection of an idle transaction: the transaction becomes a
     * tombstone.
     */
    void onConnectionLost(ConnectionId connection);

    /** @return the open transactions that exceeded their idle or total time limit. */
    std::vector<ExpiredTransaction> expired(TimePoint now) const;

    /** @return when the next transaction expires. */
    std::optional<TimePoint> nextExpiry() const;

    std::size_t openCount() const;

private:
    std::uint64_t _lastId = 0;
    std::unordered_map<TransactionId, Transaction> _transactions;
};

}  // namespace coralhoist::contract
