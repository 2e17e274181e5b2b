/**
 * Interface to connections to database servers, used by the pooler and the failover coordinator. A
 * server of this kind evaluates a condition on its log position before a read, replicates each
 * commit to one replica before it responds, and accepts commands to stop receiving or to step down.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "pooling/Statement.h"

namespace coralhoist::pooling {

/** Address of a server, and the identity expected at that address. */
struct ServerAddress {
    GroupName group;
    ServerName server;
    std::string host;
    std::uint16_t port = 0;
    /** Zone of the server; empty if unknown. */
    ZoneName zone = {};

    bool operator==(const ServerAddress&) const = default;
};

/** One command to a server. */
struct ServerCommand {
    enum class Kind {
        Caller,  /**< A caller's statement: `id` and `text` unchanged, `after` as the condition of a
                    read. */
        Execute, /**< A caller's prepared statement under the server's `name`. */
        Set,     /**< Sent by the proxy: sets value `name` to `argument`. */
        Prepare, /**< Sent by the proxy: prepares shape `argument` as `name`. */
        Reset,   /**< Sent by the proxy: drops values and prepared names. */
        Rollback, /**< Sent by the proxy: ends the open transaction. */
        Status,   /**< Requests role, term and positions of the server. */
        Pause,    /**< A replica stops receiving, until a promotion into `term` or a Resume. */
        Resume,   /**< A paused replica receives again. */
        StepDown, /**< A primary of a term below `term` becomes a replica. */
    };
    Kind kind = Kind::Caller;
    std::string id;
    std::string text;
    /** Position that the server's log must have reached before the server runs the read. */
    std::optional<OpTime> after;
    std::string name;
    std::string argument;
    ShapeKind shapeKind = ShapeKind::Read;
    Term term = 0;
};

/** Receives the events of server connections, on the thread that opened them. */
class ServerEvents {
public:
    virtual ~ServerEvents() = default;

    /** @param position current position of the server's log. */
    virtual void onOpened(ConnectionId connection, OpTime position) = 0;

    /**
     * The connection could not be opened and no longer exists.
     * @param refusal the server's error, if it sent one.
     */
    virtual void onOpenFailed(ConnectionId connection,
                              const std::optional<StatementError>& refusal) = 0;

    /** The oldest unanswered command has ended. */
    virtual void onResult(ConnectionId connection, StatementResult result) = 0;

    /** An open connection broke and no longer exists; its unanswered commands may have run. */
    virtual void onLost(ConnectionId connection) = 0;
};

/** Opens connections and sends commands. No call delivers an event before it returns. */
class ServerConnector {
public:
    virtual ~ServerConnector() = default;

    /**
     * Starts to open a connection; onOpened or onOpenFailed follows.
     * @param tenant on whose behalf all callers' statements on the connection run; empty for none.
     */
    virtual ConnectionId open(const ServerAddress& address, const TenantName& tenant,
                              ServerEvents& events) = 0;

    /** Sends several commands at once; one onResult follows for each, in order. */
    virtual void send(ConnectionId connection, const std::vector<ServerCommand>& commands) = 0;

    /** Closes the connection at once; no event for it follows. */
    virtual void close(ConnectionId connection) = 0;
};

}  // namespace coralhoist::pooling
