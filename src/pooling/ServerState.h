/** State that the pooler keeps of one server and of its connections to the server. */
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pooling/CatchUpEstimate.h"
#include "pooling/PooledSession.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::pooling {

/** The kind of command that the next result on a connection belongs to. */
enum class AwaitedResult {
    Housekeeping, /**< A command of the proxy that prepares the connection for a caller's statement.
                   */
    Rollback,
    Begin,
    Statement,
};

/** One connection to a server. */
struct ServerConnection {
    enum class State { Opening, Idle, Busy };
    ConnectionId id;
    GroupName group;
    ServerName server;
    /** Tenant on whose behalf statements run on the connection, for as long as it is open. */
    TenantName tenant;
    State state = State::Opening;
    /** The connection has run a statement. */
    bool used = false;
    SessionValues values;
    std::set<std::string> prepared;
    std::deque<AwaitedResult> awaited;
    /** Session whose statement or transaction occupies the connection; none if abandoned. */
    std::optional<SessionId> user;
    /** The connection holds an open transaction. */
    bool pinned = false;
    /** A command of the proxy failed: no later result on the connection can be trusted. */
    bool poisoned = false;
    /** The connection counts as a statement in flight. */
    bool inflight = false;
    TimePoint since{};
};

/** One server of a group. */
struct ServerState {
    ServerAddress address;
    ZoneName zone;
    std::uint32_t slots = 1;
    /** The server accepts new work. */
    bool ready = false;
    /** Idle connections of all tenants, the most recently used one last. */
    std::vector<ConnectionId> idle;
    std::uint32_t connections = 0;
    std::uint32_t opening = 0;
    std::uint32_t inflight = 0;
    /** Limit of statements outside transactions in flight; adapts to the server's capacity. */
    double inflightLimit = 0;
    /** The limit is not lowered again before this time. */
    TimePoint nextLowering{};
    /** Smoothed time from sending a statement to its result. */
    Duration latency = std::chrono::milliseconds(15);
    TimePoint latencyAt{};
    /**
     * After a refusal for lack of capacity nothing is sent before this time; the pause grows with
     * consecutive refusals.
     */
    TimePoint busyUntil{};
    Duration busyPause{0};
    /** When the server was last known to be responsive. */
    TimePoint lastSeenAt{};
    /** Earliest time since which a statement is unanswered; reset by every response. */
    std::optional<TimePoint> silentSince;
    /**
     * Connections that broke instead of delivering a response since the last response, and the time
     * of the first of them.
     */
    std::uint32_t consecutiveLosses = 0;
    TimePoint firstLossAt{};
    TimePoint nextConnect{};
    /** Idle connections are not verified again before this time. */
    TimePoint nextVerification{};
    /** The last attempt to connect failed. */
    bool unreachable = false;
    /** Number of connections that the server accepts, according to its last refusal. */
    std::optional<std::uint32_t> refusedAbove;
    TimePoint refusedUntil{};
    /** Results since the last server load log event. */
    std::uint32_t succeeded = 0;
    std::uint32_t refusedBusy = 0;
    std::uint32_t refusedLagging = 0;
    /** The server's log position, and the estimate of when it reaches positions that it lacks. */
    CatchUpEstimate catchUp;
    /**
     * Smoothed latency of reads that any server of the group may run, relative to the group's
     * latency.
     */
    double slowness = 1;
    TimePoint slownessAt{};

    /** @return whether a statement has succeeded on the server. */
    bool hasAnswered() const { return latencyAt != TimePoint{}; }
};

}  // namespace coralhoist::pooling
