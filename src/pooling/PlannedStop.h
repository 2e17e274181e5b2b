/** The planned stop of a node: what becomes of its sessions until the process ends. */
#pragma once

#include <cstddef>
#include <optional>

#include "base/Time.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {

/** What a planned stop needs of those who speak with callers. */
class StopSurroundings {
public:
    virtual ~StopSurroundings() = default;

    /** No further connection of a caller is accepted. */
    virtual void stopListening() = 0;

    /** What waits before it reaches the pooler goes on there; the pooler begins nothing new. */
    virtual void passOnWaiting() = 0;

    /** @return connections of callers and units of other nodes that are open. */
    virtual std::size_t openCount() const = 0;
};

/**
 * Ends the sessions of one process within the time that it is given. Single-threaded.
 *
 * Connections are accepted until nobody sends any; then idle sessions are closed. In its second
 * half, nothing new is begun, since another node can serve it at once, and open transactions end.
 * What was sent to a server is waited for until just the time to write the answer is left.
 *
 * Invariant: when the process may end, every statement that came has had its answer.
 */
class PlannedStop {
public:
    /** References outlive the stop. */
    PlannedStop(const Clock& clock, StatementPooler& pooler, StopSurroundings& surroundings)
        : _clock(clock), _pooler(pooler), _surroundings(surroundings) {}

    /** @param grace time from now on after which the process is killed. */
    void begin(Duration grace);

    bool hasBegun() const { return _beganAt.has_value(); }

    /** Takes the steps that are due. @return whether the process may end. */
    bool advance();

private:
    const Clock& _clock;
    StatementPooler& _pooler;
    StopSurroundings& _surroundings;
    std::optional<TimePoint> _beganAt;
    Duration _grace{0};
};

}  // namespace coralhoist::pooling
