/** Detects that the other end of a link no longer answers. */
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace coralhoist::peer {

/** What the owner of a link has to do. */
enum class LivenessAction { None, SendHeartbeat, Fail };

/**
 * Watches a link while it is in use, so that idle links cost nothing. A pause of this process is
 * told apart from silence of the peer by the time between two checks.
 */
class LinkLiveness {
public:
    /**
     * @param interval longest time without sending.
     * @param timeout silence after which the link has failed; several intervals.
     */
    LinkLiveness(Duration interval, Duration timeout, TimePoint now)
        : _interval(interval), _timeout(timeout), _heard(now), _sent(now), _checked(now) {}

    void onSent(TimePoint now) { _sent = now; }
    void onReceived(TimePoint now) { _heard = now; }

    /** @return when something was last sent or received. */
    TimePoint lastActivity() const { return std::max(_heard, _sent); }

    /** @return whether nothing was sent for an interval. */
    bool sendingIsDue(TimePoint now) const { return now - _sent >= _interval; }

    /**
     * To be called several times in each interval.
     * @param inUse whether something depends on the link now.
     */
    LivenessAction check(TimePoint now, bool inUse) {
        const bool wasPaused = now - _checked >= _timeout / 2;
        _checked = now;
        if (!inUse || !_watching || wasPaused) {
            // What the peer sent meanwhile may still wait to be read.
            _watchedSince = now;
        }
        _watching = inUse;
        if (!inUse) {
            return LivenessAction::None;
        }
        if (now - std::max(_heard, _watchedSince) >= _timeout) {
            return LivenessAction::Fail;
        }
        return sendingIsDue(now) ? LivenessAction::SendHeartbeat : LivenessAction::None;
    }

private:
    Duration _interval;
    Duration _timeout;
    TimePoint _heard;
    TimePoint _sent;
    TimePoint _checked;
    TimePoint _watchedSince;
    bool _watching = false;
};

}  // namespace coralhoist::peer
