/** Pauses between attempts to open a link. */
#pragma once

#include "base/Backoff.h"
#include "base/Time.h"

namespace coralhoist::peer {

/** Doubles the pause with each failure up to a maximum; jitter keeps peers from acting in step. */
class ReconnectBackoff {
public:
    /** @param minimum, maximum bounds of the pause. @param random outlives the object. */
    ReconnectBackoff(Duration minimum, Duration maximum, RandomSource& random)
        : _minimum(minimum), _maximum(maximum), _next(minimum), _random(&random) {}

    /** @return the pause after a failure: between half and all of the current step. */
    Duration onFailure() {
        const Duration pause = withJitter(_next, *_random);
        _next = nextBackoff(_next, _minimum, _maximum);
        return pause;
    }

    void onSuccess() { _next = _minimum; }

private:
    Duration _minimum;
    Duration _maximum;
    Duration _next;
    RandomSource* _random;
};

}  // namespace coralhoist::peer
