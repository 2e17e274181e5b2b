/** Chooses the server of a group to which a unit of work is sent. */
#pragma once

#include <optional>
#include <vector>

#include "base/Time.h"

namespace coralhoist::pooling {

/** Whether a server receives work, according to the outcomes of the requests sent to it. */
enum class ServerStanding {
    Admitted,
    Slow,        /**< Takes only work for which the other servers have no room. */
    OnProbation, /**< Was ejected; a few reads show whether it has recovered. */
    Ejected,
};

/** @return a word for logs. */
const char* describe(ServerStanding standing);

/** One server that may run a unit, and what is known about it. */
struct ServerCandidate {
    /** Mean time that the unit takes at the servers of the group. */
    Duration unitTime{0};
    /** Ratio of the time that reads take at this server to the time of the same service in the
     * group. */
    double slowness = 1;
    /** Units from this process in flight at the server, and how many it takes without refusing. */
    double inflight = 0;
    double concurrency = 1;
    /** Time until the server has the log position that the unit needs. */
    Duration readyIn{0};
    /** Time to open a connection if the unit needs a new one. */
    Duration connecting{0};
    /** Added for costs that are not times: traffic to another zone, or taking room from units that
     * no other server can run. */
    Duration penalty{0};
    /** The server seems to have failed: it is silent or unreachable. */
    bool suspect = false;
    ServerStanding standing = ServerStanding::Admitted;
    /** The server can take one more unit now. */
    bool hasRoom = true;
};

/** The decision for the unit. */
struct ServerChosen {
    /** Index of the server; nothing when the unit is queued. */
    std::optional<std::size_t> index;
    /** Some server may run the unit, now or later. */
    bool anyCandidate = false;
    /** The unit waits for a replica that will soon have its position; the choice is made again
     * after this time. */
    std::optional<Duration> replicaIn;
};

/**
 * Chooses by the time at which a unit is expected to be complete.
 *
 * Handles servers that differ in speed: a server's slowness is measured by comparing statements of
 * the same kind, not all statements that the server runs. A sum of penalties that includes the mean
 * latency would mistake a server that runs longer statements for a slow one, and would send reads
 * that any server could run to the primary.
 *
 * A unit waits for a server that lacks its position only where the unit completes sooner there than
 * at the other servers and the wait is within the given time; that time bounds what callers lose by
 * a wrong estimate. An ejected server takes work that no other server can run; a server that is
 * only slow takes work that finds no room elsewhere, because a slow response is better than none.
 */
class ServerChoice {
public:
    /** @param maximumWait the longest time for which the unit may wait for a replica. */
    static ServerChosen choose(const std::vector<ServerCandidate>& candidates,
                               Duration maximumWait);

    /** @return the time from now until the unit would be complete at the candidate. */
    static Duration completionAt(const ServerCandidate& candidate);

private:
    static bool mayServe(const ServerCandidate& candidate, Duration maximumWait);
};

}  // namespace coralhoist::pooling
