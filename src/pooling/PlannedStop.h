/** Planned stop (drain) of a node: how its sessions are ended before the process exits. */
#pragma once

#include <cstddef>
#include <optional>

#include "base/Time.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {

/** What a planned stop needs of the components that serve callers. */
class CallerFrontend {
public:
    virtual ~CallerFrontend() = default;

    /** Stops accepting connections of callers. */
    virtual void stopListening() = 0;

    /**
     * Submits to the pooler the statements that are queued before admission. The pooler begins no
     * new work by then, so it refuses each of them with a reply.
     */
    virtual void passOnWaiting() = 0;

    /** @return the number of open connections of callers and open units of other nodes. */
    virtual std::size_t openCount() const = 0;
};

/**
 * Ends the sessions of one process within the given grace period. Single-threaded.
 *
 * Connections are accepted until callers no longer open any; then idle sessions are closed. In
 * the second half of the grace period no new work is begun, since another node can serve it at
 * once, and open transactions are ended. Responses to statements that were sent to a server are
 * awaited until only the time to write the responses is left.
 *
 * Invariant: when the process may exit, every statement that was received has been answered.
 */
class PlannedStop {
public:
    /** The references must outlive this object. */
    PlannedStop(const Clock& clock, StatementPooler& pooler, CallerFrontend& surroundings)
        : _clock(clock), _pooler(pooler), _surroundings(surroundings) {}

    /** @param grace time from now on after which the process is killed. */
    void begin(Duration grace);

    bool hasBegun() const { return _beganAt.has_value(); }

    /** Performs the steps that are due. @return whether the process may exit. */
    bool advance();

private:
    const Clock& _clock;
    StatementPooler& _pooler;
    CallerFrontend& _surroundings;
    std::optional<TimePoint> _beganAt;
    Duration _grace{0};
};

}  // namespace coralhoist::pooling
