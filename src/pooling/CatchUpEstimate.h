/** Estimates when a replica will reach a log position, from the positions that it has reported. */
#pragma once

#include <optional>

#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Pauses between two reads that probe a replica which is not expected to have the position they
 * need. */
struct ProbePauses {
    Duration shortest = std::chrono::milliseconds(60);
    Duration longest = std::chrono::milliseconds(480);
};

/**
 * The known progress of one replica during one incarnation.
 *
 * Limits the cost of replicas that fall behind: a read that a lagging replica refuses is late when
 * it reaches the server that runs it, and a read that goes to the primary although a replica has
 * its position, or will have it shortly, takes a slot from work that only the primary can run.
 *
 * Time is measured on the log: the lag is the time since the log went beyond the replica's
 * position. A replica that keeps up reaches a position one lag after the log did; one that catches
 * up reaches it sooner, according to its rate. No estimate is possible for a replica that makes no
 * progress; it is probed by one read at a time, after growing pauses. The estimate only affects the
 * choice of a server: the server itself refuses reads whose position it lacks.
 */
class CatchUpEstimate {
public:
    /**
     * The replica reported its position in a response of any kind.
     * @param lag time since the log went beyond that position; zero when it has not.
     */
    void observe(OpTime position, Duration lag, TimePoint now);

    /** The replica refused a read because it lacks the position. */
    void refuse(OpTime floor, TimePoint now, const ProbePauses& pauses);

    /** A read is sent to the replica, whether or not it is expected to have the position: the next
     * such read waits for the response. */
    void ask(OpTime floor, TimePoint reachedAt, TimePoint now, const ProbePauses& pauses);

    /** A read succeeded at the replica. */
    void succeed() { _pause = Duration(0); }

    /**
     * @param reachedAt when the log reached the position.
     * @return the time until a read that needs the position may be sent to the replica: zero when
     * the replica has the position, is expected to have it, or may be probed again; nothing when
     * the time can't be estimated.
     */
    std::optional<Duration> timeUntil(OpTime floor, TimePoint reachedAt, TimePoint now) const;

    /** @return the estimated lag, from the last observation and the rate since. */
    Duration lagAt(TimePoint now) const;

    /** @return seconds of the log that the replica applies per second; 1 for one that keeps up. */
    double rate() const { return _rate; }

    /** @return the highest position that the replica reported. */
    OpTime position() const { return _position; }

    /** @return the position that the replica lacked last. */
    OpTime lacked() const { return _lacked; }

private:
    std::optional<Duration> expected(OpTime floor, TimePoint reachedAt, TimePoint now) const;
    bool isRefuted(OpTime floor) const { return _lacked.term > 0 && _lacked <= floor; }

    OpTime _position;
    TimePoint _observedAt{};
    Duration _lag{0};
    /** The observation from which the rate is computed. */
    TimePoint _anchorAt{};
    Duration _anchorLag{0};
    double _rate = 1;
    /** The position that the replica lacked at its last refusal, while no later observation reaches
     * it. */
    OpTime _lacked;
    TimePoint _nextProbe{};
    Duration _pause{0};
};

}  // namespace coralhoist::pooling
