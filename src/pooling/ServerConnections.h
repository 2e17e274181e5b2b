/** The connections of this process to servers: opened, lent to a statement, released, closed. */
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

/** What the connections need of whoever sends statements on them. */
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;

    /** @return the server that the connection leads to; null when it is not known any more. */
    virtual ServerState* serverOf(const ServerConnection& connection) = 0;

    /** @return whether nothing may be sent to the server, not even to end what is open there. */
    virtual bool isClosed(const ServerState& server) = 0;

    /** A server of the group has room for something else. */
    virtual void onRoom(const GroupName& group) = 0;

    /** The connection is being forgotten: nothing on it will be answered. */
    virtual void onForgotten(const ServerConnection& connection) = 0;
};

/** What one more connection to a server depends on. */
struct OpeningTerms {
    /** Connections that this process may hold to the server. */
    std::uint32_t limit = 1;
    /** How much each tenant uses the server's group. */
    const TenantActivity& activity;
};

/**
 * Keeps the counts of each `ServerState` in step with its connections. A connection serves one
 * tenant for as long as it is open.
 *
 * Invariants: an idle connection is in its server's list of idle ones and nowhere else; a
 * connection that its user has left serves nobody before it has answered all that was sent on it.
 */
class ServerConnections {
public:
    /** References outlive the connections. */
    ServerConnections(const Clock& clock, ServerConnector& connector, ServerEvents& events,
                      ConnectionOwner& owner, const PoolerKnobs& knobs,
                      PoolerStatistics& statistics);

    /** @return the connection; null for one that is not open any more. */
    ServerConnection* find(ConnectionId id);
    const ServerConnection* find(ConnectionId id) const;

    const std::unordered_map<ConnectionId, ServerConnection>& all() const { return _connections; }

    /** @return whether an idle connection of the tenant stands ready. */
    bool hasIdleFor(const ServerState& server, const TenantName& tenant) const;

    /** @return whether one is being opened or another one may be, now, in place of an idle one if
     * there are as many as may be. */
    bool mayOpen(const ServerState& server, const OpeningTerms& terms) const;

    /** @return the connection that is being opened; none when no further one may be now. */
    std::optional<ConnectionId> open(ServerState& server, const TenantName& tenant,
                                     const OpeningTerms& terms);

    /** Of the tenant's idle connections, takes one with the values in force, or else one without
     * any. @return null when none is idle. */
    ServerConnection* takeIdle(ServerState& server, const TenantName& tenant,
                               const SessionValues& values);

    /** It has been opened and stands ready. */
    void noteOpened(ServerConnection& connection);

    /** It could not be opened: it is forgotten, and the server left alone for a while.
     * @param refusal what the server answered, if it did. */
    void noteOpenFailed(ServerConnection& connection, const std::optional<StatementError>& refusal);

    /** Its user is done with it. @param state what the server told of it last. */
    void release(ServerConnection& connection, SessionState state);

    /** Its user went away; what is unanswered is waited for and dropped. */
    void abandon(ServerConnection& connection);

    /** Ends whatever is open on it. Its user is done with it. It is closed for that, and gone
     * afterwards, where its server must not be sent anything. */
    void rollBack(ServerConnection& connection);

    /** A statement of its transaction was answered; the transaction goes on without a slot. */
    void noteResting(ServerConnection& connection);

    /** Closes it, which rolls back what is open on it. */
    void discard(ConnectionId id);

    /** It is gone. */
    void forget(ConnectionId id);

    /** Closes all idle ones of the server. */
    void discardIdle(ServerState& server);

    /** Closes those that have been idle for too long on a node that does not execute the group. */
    void discardUnused(ServerState& server);

    /** Has those that have been idle since before a moment answer before they serve again. */
    void verifyIdle(ServerState& server, TimePoint since);

    /** @return those that take too long to open, or whose abandoned statement is not answered. */
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
