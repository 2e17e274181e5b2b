/** State of one caller's session and of its current statement. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "admission/FirstAttempt.h"
#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/OwnCommitFloors.h"
#include "pooling/ServiceCatalog.h"
#include "pooling/Statement.h"

namespace coralhoist::pooling {

/** Session values by name. */
using SessionValues = std::map<std::string, std::string>;

/** A prepared statement name of a session. */
struct PreparedShape {
    ShapeKind kind = ShapeKind::Read;
    std::string shape;
    /** Name under which this process prepares the shape on servers. */
    std::string serverName;
};

/** State of a session's transaction. */
enum class TransactionPhase {
    None,
    Unstarted, /**< Opened by the caller, not yet opened on a server. */
    Open,      /**< Open on a server, on a dedicated connection. */
    Failed,    /**< To be rolled back; the caller has not ended it yet. */
};

/** A transaction of a session. */
struct SessionTransaction {
    TransactionPhase phase = TransactionPhase::None;
    Statement begin;
    TimePoint arrivedAt{};
    TimePoint lastActivity{};
    /** Time for which the transaction's statements have occupied a slot. */
    Duration slotTime{0};
    /** A write has been sent in the transaction. */
    bool wrote = false;
    /** The failure has been reported to the caller. */
    bool failureReported = false;
    /**
     * Where the transaction is open: on a connection of this node, or in a unit that another node
     * executes.
     */
    std::optional<ConnectionId> connection;
    std::optional<UnitId> unit;
    /** The node that executes the unit. */
    NodeName executor;
};

/** State of a statement. */
enum class OperationPhase {
    Queued,    /**< Not sent; waits for a server. */
    Beginning, /**< The transaction of the statement is being opened on a server. */
    Sent,      /**< Sent to a server. */
    /** The server acknowledged the commit; its leadership at that time is not proven yet. */
    Acknowledged,
};

/** The current statement of a session. */
struct Operation {
    Statement statement;
    OperationPhase phase = OperationPhase::Queued;
    /** The statement may change data when it runs. */
    bool writes = false;
    TimePoint arrivedAt{};
    /**
     * Arrival of the statement, or of its transaction if it has one; consistency is guaranteed
     * relative to this time.
     */
    TimePoint consistentSince{};
    /**
     * When the caller first sent the statement, across refusals and nodes; not later than
     * arrivedAt.
     */
    TimePoint firstRequestedAt{};
    /** A response that arrives by this time is still expected to be useful to the caller. */
    TimePoint usefulUntil{};
    /** Until when the response to a sent statement is awaited. */
    TimePoint deadline{};
    /** The statement is refused as not run if it has not been sent by this time. */
    TimePoint holdUntil{};
    /** The statement is not retried before this time. */
    TimePoint notBefore{};
    /**
     * When the primary may be written to, as far as known: the statement is reviewed at this time.
     */
    TimePoint writableAt{};
    /** When the replica that the statement waits for is expected to have reached its position. */
    TimePoint replicaAt{};
    TimePoint sentAt{};
    /** The response to a commit and when it arrived, while the commit awaits a proof. */
    std::optional<StatementResult> acknowledgement;
    TimePoint acknowledgedAt{};
    std::uint32_t attempts = 0;
    std::set<ServerName> avoided;
    ConnectionId connection;
    ServerName server;
    /** A connection that is being opened for the statement. */
    std::optional<ConnectionId> opening;
    /**
     * The unit in which another node executes the statement, that node, and the nodes that did not
     * accept the statement.
     */
    std::optional<UnitId> unit;
    NodeName executor;
    std::set<NodeName> avoidedExecutors;
    /**
     * Time for which the statement was still expected to wait when it was refused; zero if unknown.
     */
    Duration forecast{0};
    /** Floor that the server had to have reached, for logs. */
    OpTime floor;
    /** Why the statement did not run at the last attempt, for logs. */
    const char* lastObstacle = "none";
    std::uint64_t serial = 0;
};

/** The session of one caller. */
struct PooledSession {
    SessionId id;
    ServiceName service;
    /** Tenant on whose behalf the session's statements run; empty for none. */
    TenantName tenant;
    GroupName group;
    settings::ServiceSettings settings;
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
    /** Covers the session's commits, also those in groups to which its service may return. */
    OwnCommitFloors ownFloors;
    SessionTransaction transaction;
    std::optional<Operation> operation;
    /** A statement has arrived and will be submitted later. */
    bool expectsStatement = false;
    /** When the last statement arrived or ended. */
    TimePoint activeAt{};
    /**
     * The session represents a unit that another node forwarded; that node determines the settings.
     */
    bool forwarded = false;
    /**
     * Time since the caller first sent the unit's first statement; used until that statement
     * arrives.
     */
    Duration waited{0};
    /**
     * Time for which a response to the unit's first statement is useful to the caller; used until
     * that statement arrives.
     */
    std::optional<Duration> usefulFor;
    /** The statement that was refused, in case the caller retries it. */
    admission::FirstAttempt firstAsking;
};

}  // namespace coralhoist::pooling
