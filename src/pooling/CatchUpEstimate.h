/** When a replica will have a position of the log, from the positions that it has shown. */
#pragma once

#include <optional>

#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Pauses between two reads that ask a replica which is not expected to have what they need. */
struct ProbePauses {
    Duration shortest = std::chrono::milliseconds(60);
    Duration longest = std::chrono::milliseconds(480);
};

/**
 * What is known of one replica's progress in one life of it.
 *
 * Answers the load of replicas that fall behind: each read that asks one in vain comes late to the
 * server that serves it, and each that asks the primary though a replica has its position, or will
 * have it in a moment, takes a slot from what only the primary can run.
 *
 * The log's own time is the measure: the lag is the time since the log went beyond the replica's
 * position. A replica that keeps up has a position one lag after the log had; one that catches up
 * sooner, by its rate; of one that stands still nothing can be said, and it is asked by one
 * read at a time, after growing pauses. The estimate only chooses: the server itself refuses reads
 * whose position it lacks.
 */
class CatchUpEstimate {
public:
    /**
     * The replica has shown its position in an answer of any kind.
     * @param lag time since the log went beyond that position; zero when it has not.
     */
    void observe(OpTime position, Duration lag, TimePoint now);

    /** It refused a read for want of a position. */
    void refuse(OpTime floor, TimePoint now, const ProbePauses& pauses);

    /** A read is sent there, whatever is expected of it: the next one waits for its answer. */
    void ask(OpTime floor, TimePoint reachedAt, TimePoint now, const ProbePauses& pauses);

    /** A read has succeeded there. */
    void succeed() { _pause = Duration(0); }

    /**
     * @param reachedAt when the log had the position.
     * @return the time until a read that needs the position may be sent there: zero when it has
     * the position, is expected to, or may be asked again; none when that can't be foreseen.
     */
    std::optional<Duration> timeUntil(OpTime floor, TimePoint reachedAt, TimePoint now) const;

    /** @return how far it is behind, by what it has shown and at its rate since. */
    Duration lagAt(TimePoint now) const;

    /** @return seconds of the log that it applies a second; 1 for one that keeps up. */
    double rate() const { return _rate; }

    /** @return the highest position that it has shown. */
    OpTime position() const { return _position; }

    /** @return the position that it lacked last. */
    OpTime lacked() const { return _lacked; }

private:
    std::optional<Duration> expected(OpTime floor, TimePoint reachedAt, TimePoint now) const;
    bool isRefuted(OpTime floor) const { return _lacked.term > 0 && _lacked <= floor; }

    OpTime _position;
    TimePoint _observedAt{};
    Duration _lag{0};
    /** The observation from which the rate is counted. */
    TimePoint _anchorAt{};
    Duration _anchorLag{0};
    double _rate = 1;
    /** It lacked this when it was last asked in vain; no position since reaches it. */
    OpTime _lacked;
    TimePoint _nextProbe{};
    Duration _pause{0};
};

}  // namespace coralhoist::pooling
