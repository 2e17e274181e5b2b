/** What the pooler knows of one server and of its connections to it. */
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

/** What the next result on a connection answers. */
enum class AwaitedResult {
    Housekeeping, /**< A command of the proxy that prepares for a caller's statement. */
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
    /** On whose behalf statements run on it, for as long as it is open. */
    TenantName tenant;
    State state = State::Opening;
    /** It has run a statement. */
    bool used = false;
    SessionValues values;
    std::set<std::string> prepared;
    std::deque<AwaitedResult> awaited;
    /** Session whose statement or transaction occupies it; none when abandoned. */
    std::optional<SessionId> user;
    /** Holds an open transaction. */
    bool pinned = false;
    /** A command of the proxy failed: no later result on it can be trusted. */
    bool poisoned = false;
    /** Counts as a statement in flight. */
    bool inflight = false;
    TimePoint since{};
};

/** One server of a group. */
struct ServerState {
    ServerAddress address;
    ZoneName zone;
    std::uint32_t slots = 1;
    /** It takes new work. */
    bool ready = false;
    /** Idle connections of all tenants, the one used last at the end. */
    std::vector<ConnectionId> idle;
    std::uint32_t connections = 0;
    std::uint32_t opening = 0;
    std::uint32_t inflight = 0;
    /** Statements outside transactions that may be in flight; follows what the server bears. */
    double inflightLimit = 0;
    /** The limit is not lowered again before. */
    TimePoint nextLowering{};
    /** Smoothed time from sending a statement to its result. */
    Duration latency = std::chrono::milliseconds(15);
    TimePoint latencyAt{};
    /** It had no capacity: nothing more is sent before, and that pause grows while it has none. */
    TimePoint busyUntil{};
    Duration busyPause{0};
    /** Last sign of life. */
    TimePoint heardAt{};
    /** Oldest moment since which a statement is unanswered; reset by every answer. */
    std::optional<TimePoint> silentSince;
    /** Connections that broke in place of an answer since the last answer, and since when. */
    std::uint32_t lostInRow = 0;
    TimePoint losingSince{};
    TimePoint nextConnect{};
    /** Idle connections are not verified again before. */
    TimePoint nextVerification{};
    /** The last attempt to connect failed. */
    bool unreachable = false;
    /** Connections that the server has room for, as its last refusal showed. */
    std::optional<std::uint32_t> refusedAbove;
    TimePoint refusedUntil{};
    /** Results since the last report. */
    std::uint32_t succeeded = 0;
    std::uint32_t refusedBusy = 0;
    std::uint32_t refusedLagging = 0;
    /** Where its log is, and when it will have what it lacks. */
    CatchUpEstimate catchUp;
    /** Smoothed times of reads that any server of the group may run, over the group's. */
    double slowness = 1;
    TimePoint slownessAt{};

    /** @return whether a statement has succeeded there. */
    bool hasAnswered() const { return latencyAt != TimePoint{}; }
};

}  // namespace coralhoist::pooling
