/**
 * Pool of the data connections of one group. Limits the number of connections, paces connection
 * attempts, and resets connections before they are reused.
 */
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/BackendConnector.h"
#include "contract/Execution.h"
#include "contract/ExecutorKnobs.h"

namespace coralhoist::contract {

/** Limits for each server. */
struct PoolLimits {
    std::uint32_t connectionsPerServer = 0;
    std::uint32_t concurrentConnects = 1;
    /** Number of idle connections kept open. */
    std::uint32_t warmConnections = 0;
};

/** A connection taken out of the pool. */
struct PoolLease {
    ConnectionId connection;
    /** The session parameters must still be applied to the connection. */
    bool needsParameters = false;
};

/**
 * Pool of connections per server.
 *
 * Invariants: at most connectionsPerServer connections per server exist, busy ones included. A
 * connection has one user at a time. A connection with session state of an earlier user is reset,
 * in a separate program, before it becomes idle again or is leased to another user. A connection
 * whose transaction state is unknown, or that a cancel request may still reach, is closed and never
 * reused.
 */
class ConnectionPool {
public:
    using Parameters = std::vector<SessionParameter>;

    /** The referenced objects must outlive the pool. */
    ConnectionPool(BackendConnector& connector, RandomSource& random, const ExecutorKnobs& knobs);

    /**
     * @param servers members of the group.
     * @param leaving the members that get no new connections; their idle connections are closed.
     */
    void configure(const std::vector<ServerName>& servers, const std::vector<ServerName>& leaving,
                   const PoolLimits& limits);

    /** @return an idle connection on which these parameters, or none, are in effect. */
    std::optional<PoolLease> acquire(const ServerName& server, const Parameters& parameters);

    /**
     * Returns a connection that is idle outside a transaction to the pool.
     * @param parameters in effect on the connection, which has no other session state.
     */
    void release(ConnectionId connection, Parameters parameters);

    /** @return an idle connection with other parameters in effect, which must be reset. */
    std::optional<ConnectionId> takeForReset(const ServerName& server);

    /**
     * Records that a cancel request was sent and may arrive late; the connection is never leased to
     * another user.
     */
    void markCancelled(ConnectionId connection);

    bool isCancelled(ConnectionId connection) const;

    /** Closes a busy connection. */
    void discard(ConnectionId connection);

    /**
     * Sets the number of statements that wait for a connection to the server; the next pump() opens
     * connections for them.
     */
    void setDemand(const ServerName& server, std::size_t waiting);

    bool owns(ConnectionId connection) const { return _connections.contains(connection); }

    /** @return the server of one of the pool's connections. */
    const ServerName& serverOf(ConnectionId connection) const;

    void onOpened(ConnectionId connection);
    void onOpenFailed(ConnectionId connection, TimePoint now);
    void onLost(ConnectionId connection);

    /**
     * Opens the connections that are demanded and allowed, and abandons connection attempts that
     * exceed the timeout.
     */
    void pump(TimePoint now);

    /** @return when pump must be called next. */
    std::optional<TimePoint> nextTick() const;

    /** @return whether no connection is open and the last attempt failed. */
    bool isUnreachable(const ServerName& server) const;

    /**
     * @return the number of connections that can still be leased: idle ones and ones not opened
     *         yet.
     */
    std::size_t available(const ServerName& server) const;

    std::size_t openCount(const ServerName& server) const;
    std::size_t busyCount(const ServerName& server) const;
    std::uint64_t openedTotal() const { return _openedTotal; }
    std::uint64_t refusedTotal() const { return _refusedTotal; }

private:
    enum class State { Opening, Idle, Busy };
    struct Connection {
        ServerName server;
        State state = State::Opening;
        Parameters parameters;
        TimePoint openedAt{};
        bool cancelled = false;
    };
    struct Server {
        std::vector<ConnectionId> idle;
        std::size_t opening = 0;
        std::size_t busy = 0;
        std::size_t demand = 0;
        bool member = true;
        bool leaving = false;
        bool lastAttemptFailed = false;
        Duration backoff{0};
        TimePoint nextAttempt{};

        std::size_t total() const { return idle.size() + opening + busy; }
    };

    bool wantsConnection(const Server& server) const;
    void shrink(Server& server);
    void giveUpLateConnects(TimePoint now);

    BackendConnector& _connector;
    RandomSource& _random;
    const ExecutorKnobs& _knobs;
    PoolLimits _limits;
    std::map<ServerName, Server> _servers;
    std::unordered_map<ConnectionId, Connection> _connections;
    std::vector<ConnectionId> _opening;
    std::uint64_t _openedTotal = 0;
    std::uint64_t _refusedTotal = 0;
};

}  // namespace coralhoist::contract
