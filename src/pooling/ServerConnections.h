/** Opens the connections of this process to servers, assigns them to statements, and releases and
 * closes them. */
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/PoolerKnobs.h"
#include "pooling/PoolerStatistics.h"
#include "pooling/ServerLink.h"
#include "pooling/ServerState.h"
#include "pooling/Statement.h"
#include "pooling/TenantActivity.h"

namespace coralhoist::pooling {

/** What the connections need of the component that sends statements on them. */
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;

    /** @return the server to which the connection leads; null when the server is not known any
     * more. */
    virtual ServerState* serverOf(const ServerConnection& connection) = 0;

    /** @return whether nothing may be sent to the server, not even a command that ends an open
     * transaction. */
    virtual bool isClosed(const ServerState& server) = 0;

    /** A server of the group has room for another statement or connection. */
    virtual void onRoom(const GroupName& group) = 0;

    /** The connection is being removed: nothing on it will be answered. */
    virtual void onForgotten(const ServerConnection& connection) = 0;
};

/** The conditions for one more connection to a server. */
struct OpeningTerms {
    /** Connections that this process may hold to the server. */
    std::uint32_t limit = 1;
    /** How much each tenant uses the server's group. */
    const TenantActivity& activity;
};

/**
 * Keeps the counters of each `ServerState` consistent with its connections. A connection serves one
 * tenant for as long as it is open.
 *
 * Invariants: an idle connection is in its server's list of idle connections and in no other list;
 * a connection that its user has abandoned serves no other user before everything that was sent on
 * it has been answered.
 */
class ServerConnections {
public:
    /** The referenced objects must outlive this object. */
    ServerConnections(const Clock& clock, ServerConnector& connector, ServerEvents& events,
                      ConnectionOwner& owner, const PoolerKnobs& knobs,
                      PoolerStatistics& statistics);

    /** @return the connection; null if it is not open any more. */
    ServerConnection* find(ConnectionId id);
    const ServerConnection* find(ConnectionId id) const;

    const std::unordered_map<ConnectionId, ServerConnection>& all() const { return _connections; }

    /** @return whether an idle connection of the tenant is available. */
    bool hasIdleFor(const ServerState& server, const TenantName& tenant) const;

    /** @return whether a connection may be opened now, replacing an idle one if the limit is
     * reached. */
    bool mayOpen(const ServerState& server, const OpeningTerms& terms) const;

    /** @return the connection that is being opened; nothing when no further one may be opened now.
     */
    std::optional<ConnectionId> open(ServerState& server, const TenantName& tenant,
                                     const OpeningTerms& terms);

    /** Takes one of the tenant's idle connections, preferring one with these values in force, then
     * one without any values. @return null when none is idle. */
    ServerConnection* takeIdle(ServerState& server, const TenantName& tenant,
                               const SessionValues& values);

    /** The connection has been opened and is available. */
    void noteOpened(ServerConnection& connection);

    /**
     * The connection could not be opened: it is removed, and no connection to the server is opened
     * for a while.
     * @param refusal the server's error, if it responded.
     */
    void noteOpenFailed(ServerConnection& connection, const std::optional<StatementError>& refusal);

    /** The connection's user no longer needs the connection. @param state session state that the
     * server reported last. */
    void release(ServerConnection& connection, SessionState state);

    /** The user has abandoned the connection; pending results are awaited and dropped. */
    void abandon(ServerConnection& connection);

    /** Ends any transaction that is open on the connection, whose user no longer needs it. Where
     * nothing may be sent to the server, the connection is closed instead and removed later. */
    void rollBack(ServerConnection& connection);

    /** A statement of the connection's transaction was answered; the transaction continues without
     * a slot. */
    void noteIdleInTransaction(ServerConnection& connection);

    /** Closes the connection, which rolls back a transaction that is open on it. */
    void discard(ConnectionId id);

    /** Removes a connection that is already closed. */
    void forget(ConnectionId id);

    /** Closes all idle connections of the server. */
    void discardIdle(ServerState& server);

    /** Closes connections that have been idle for too long on a node that does not execute the
     * group. */
    void discardUnused(ServerState& server);

    /** Requires connections that have been idle since before a moment to respond before they serve
     * again. */
    void verifyIdle(ServerState& server, TimePoint since);

    /** @return connections that take too long to open, or whose abandoned statement is not
     * answered. */
    std::vector<ConnectionId> late() const;

private:
    bool mayConnect(const ServerState& server) const;
    bool isFull(const ServerState& server, std::uint32_t limit) const;
    std::optional<ConnectionId> replaceable(const ServerState& server,
                                            const TenantActivity& activity) const;

    const Clock& _clock;
    ServerConnector& _connector;
    ServerEvents& _events;
    ConnectionOwner& _owner;
    const PoolerKnobs& _knobs;
    PoolerStatistics& _statistics;
    std::unordered_map<ConnectionId, ServerConnection> _connections;
};

}  // namespace coralhoist::pooling
