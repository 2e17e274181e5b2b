/** State of one caller's session and of the statement it waits for. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "admission/FirstAttempt.h"
#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"
#include "pooling/ServiceCatalog.h"
#include "pooling/Statement.h"

namespace coralhoist::pooling {

/** Values of a session by name. */
using SessionValues = std::map<std::string, std::string>;

/** A prepared name of a session. */
struct PreparedShape {
    ShapeKind kind = ShapeKind::Read;
    std::string shape;
    /** Name under which this process prepares the shape on servers. */
    std::string serverName;
};

/** How far a session's transaction has come. */
enum class TransactionPhase {
    None,
    Unstarted, /**< Opened by the caller, not yet at a server. */
    Open,      /**< Open at a server, on a connection of its own. */
    Failed,    /**< It will be rolled back; the caller has yet to end it. */
};

/** A transaction of a session. */
struct SessionTransaction {
    TransactionPhase phase = TransactionPhase::None;
    Statement begin;
    TimePoint arrivedAt{};
    TimePoint lastActivity{};
    /** Time for which its statements have occupied a slot. */
    Duration slotTime{0};
    /** A write has been sent in it. */
    bool wrote = false;
    /** The caller has been told that it failed. */
    bool failureTold = false;
    /** Where it is open: on a connection of this node, or in a unit that another node executes. */
    std::optional<ConnectionId> connection;
    std::optional<UnitId> unit;
    /** The node that executes that unit. */
    NodeName executor;
};

/** Where a statement is. */
enum class OperationPhase {
    Queued,    /**< Not sent; waits for a server. */
    Beginning, /**< The transaction that it belongs to is being opened at a server. */
    Sent,      /**< At a server. */
};

/** The statement that a session waits for. */
struct Operation {
    Statement statement;
    OperationPhase phase = OperationPhase::Queued;
    /** It may change data when it runs. */
    bool writes = false;
    TimePoint arrivedAt{};
    /** First moment of the statement or of its transaction; consistency counts from here. */
    TimePoint consistentSince{};
    /** When its caller first asked for it, over refusals and nodes; not after arrivedAt. */
    TimePoint firstAskedAt{};
    /** An answer to it is expected to reach its caller until then. */
    TimePoint usefulUntil{};
    /** The answer to a statement that was sent is waited for until then. */
    TimePoint deadline{};
    /** Refused as not run when it has not been sent by then. */
    TimePoint holdUntil{};
    /** Not tried again before. */
    TimePoint notBefore{};
    /** When the primary may be written to, as far as known: the statement is looked at then. */
    TimePoint writableAt{};
    /** When the replica for which it waits is expected to have its position. */
    TimePoint replicaAt{};
    TimePoint sentAt{};
    std::uint32_t attempts = 0;
    std::set<ServerName> avoided;
    ConnectionId connection;
    ServerName server;
    /** A connection that is being opened for it. */
    std::optional<ConnectionId> opening;
    /** The unit in which another node executes it, that node, and nodes that did not take it. */
    std::optional<UnitId> unit;
    NodeName executor;
    std::set<NodeName> avoidedExecutors;
    /** Time for which it would have waited still when it was refused; zero when that is unknown. */
    Duration forecast{0};
    /** Floor that the server had to have reached, for logs. */
    OpTime floor;
    /** Why it last did not run, for logs. */
    const char* lastObstacle = "none";
    std::uint64_t serial = 0;
};

/** One caller's session. */
struct PooledSession {
    SessionId id;
    ServiceName service;
    /** On whose behalf its statements run; empty for none. */
    TenantName tenant;
    GroupName group;
    settings::ServiceSettings settings;
    SessionValues values;
    std::map<std::string, PreparedShape> prepared;
    /** Position of the log that has all commits of this session. */
    OpTime ownFloor;
    SessionTransaction transaction;
    std::optional<Operation> operation;
    /** A statement has come and is submitted later. */
    bool expectsStatement = false;
    /** When the last statement came or ended. */
    TimePoint activeAt{};
    /** It stands for a unit that another node forwarded and whose settings that node decides. */
    bool forwarded = false;
    /** Time since its caller first asked for the unit's first statement, until that has come. */
    Duration waited{0};
    /** The same: time for which an answer to its first statement is of use to the caller. */
    std::optional<Duration> usefulFor;
    /** What was refused, for the case that the caller asks again. */
    admission::FirstAttempt firstAsking;
};

}  // namespace coralhoist::pooling
