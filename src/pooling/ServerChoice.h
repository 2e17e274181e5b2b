/** Which of a group's servers a unit of work is sent to. */
#pragma once

#include <optional>
#include <vector>

#include "base/Time.h"

namespace coralhoist::pooling {

/** How far a server is trusted by what became of the requests sent there. */
enum class ServerStanding {
    Admitted,
    Slow,        /**< It takes what the others have no room for. */
    OnProbation, /**< It was ejected; a few reads show whether it serves again. */
    Ejected,
};

/** @return a word for logs. */
const char* describe(ServerStanding standing);

/** One server that may run a unit, and what is known of it. */
struct ServerCandidate {
    /** Time that the unit takes at the servers of the group in the mean. */
    Duration unitTime{0};
    /** Times that reads take there, over those of the same service in the group. */
    double slowness = 1;
    /** Units from this process there, and how many it takes without refusing. */
    double inflight = 0;
    double concurrency = 1;
    /** Time until it has the log position that the unit needs. */
    Duration readyIn{0};
    /** Time for a connection that would have to be opened. */
    Duration connecting{0};
    /** Added for what is no time: bytes to another zone, room that others have no other server
     * for. */
    Duration penalty{0};
    /** It gives no sign of life. */
    bool suspect = false;
    ServerStanding standing = ServerStanding::Admitted;
    /** It takes one more now. */
    bool hasRoom = true;
};

/** What becomes of the unit. */
struct ServerChosen {
    /** Index of the server; none when the unit waits. */
    std::optional<std::size_t> index;
    /** Some server may run it, now or later. */
    bool anyCandidate = false;
    /** It waits for a replica that will soon have its position; looked at again after this. */
    std::optional<Duration> replicaIn;
};

/**
 * Chooses by the time at which a unit is expected to be complete.
 *
 * Answers the load of servers that differ: a server is as slow as it is for the same kind of
 * statement, not as what else it runs. A sum of penalties by mean latency takes a server that runs
 * longer statements for a slow one, and sends reads that any server could run to the primary.
 *
 * A unit waits for a server without its position only where that completes it sooner than the
 * others do and within the time given; what callers lose by an expectation that fails is bounded
 * by that time. A server that was ejected takes what no other can run; one
 * that is only slow takes what finds no room elsewhere, since a slow answer is worth more than
 * none.
 */
class ServerChoice {
public:
    /** @param patience the longest time for which the unit may wait for a replica. */
    static ServerChosen choose(const std::vector<ServerCandidate>& candidates, Duration patience);

    /** @return when the unit would be complete there, counted from now. */
    static Duration completionAt(const ServerCandidate& candidate);

private:
    static bool mayServe(const ServerCandidate& candidate, Duration patience);
};

}  // namespace coralhoist::pooling
