/**
 * What the pooler and the failover coordinator need of connections to database servers. A server of
 * this kind evaluates a condition on its log position before a read, replicates each commit to one
 * replica before it answers, and can be told to stop receiving or to step down.
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

/** Where a server listens and which one is expected there. */
struct ServerAddress {
    GroupName group;
    ServerName server;
    std::string host;
    std::uint16_t port = 0;
    /** Where it stands; empty where that is not known. */
    ZoneName zone = {};

    bool operator==(const ServerAddress&) const = default;
};

/** One command to a server. */
struct ServerCommand {
    enum class Kind {
        Caller,  /**< A caller's statement: `id` and `text` as given, `after` in front of a read. */
        Execute, /**< A caller's prepared statement under the server's `name`. */
        Set,     /**< Of the proxy: value `name` becomes `argument`. */
        Prepare, /**< Of the proxy: shape `argument` is prepared as `name`. */
        Reset,   /**< Of the proxy: values and prepared names are dropped. */
        Rollback, /**< Of the proxy: ends the open transaction. */
        Status,   /**< Role, term and positions of the server. */
        Pause,    /**< A replica stops receiving, until a promotion into `term` or a Resume. */
        Resume,   /**< A paused replica receives again. */
        StepDown, /**< A primary of a term below `term` becomes a replica. */
    };
    Kind kind = Kind::Caller;
    std::string id;
    std::string text;
    /** Position that the server's log must have before it runs the read. */
    std::optional<OpTime> after;
    std::string name;
    std::string argument;
    ShapeKind shapeKind = ShapeKind::Read;
    Term term = 0;
};

/** Receives what happens on connections to servers, on the thread that opened them. */
class ServerEvents {
public:
    virtual ~ServerEvents() = default;

    /** @param position of the server's log. */
    virtual void onOpened(ConnectionId connection, OpTime position) = 0;

    /** The connection could not be opened and is gone. @param refusal the server's word, if any. */
    virtual void onOpenFailed(ConnectionId connection,
                              const std::optional<StatementError>& refusal) = 0;

    /** The oldest unanswered command has ended. */
    virtual void onResult(ConnectionId connection, StatementResult result) = 0;

    /** An open connection broke and is gone; its unanswered commands may have run. */
    virtual void onLost(ConnectionId connection) = 0;
};

/** Opens connections and sends commands. No call delivers an event before it returns. */
class ServerConnector {
public:
    virtual ~ServerConnector() = default;

    /**
     * Starts to open a connection; onOpened or onOpenFailed follows.
     * @param tenant on whose behalf all statements of callers on it run; empty for none.
     */
    virtual ConnectionId open(const ServerAddress& address, const TenantName& tenant,
                              ServerEvents& events) = 0;

    /** Sends commands in one go; one onResult follows for each, in order. */
    virtual void send(ConnectionId connection, const std::vector<ServerCommand>& commands) = 0;

    /** Closes the connection at once; no event for it follows. */
    virtual void close(ConnectionId connection) = 0;
};

}  // namespace coralhoist::pooling
