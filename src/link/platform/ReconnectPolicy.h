/** Jittered exponential back-off. */
#pragma once

#include <chrono>
#include <cstdint>

#include "base/Time.h"

namespace coralhoist::platform {

/** Bounds of the delays between attempts. */
struct ReconnectOptions {
    Duration initialDelay = std::chrono::milliseconds(100);
    Duration maximumDelay = std::chrono::seconds(5);
};

/**
 * Delays between attempts: the ceiling doubles with each failure, and the delay is drawn from its
 * upper half, so that clients which failed together do not come back together.
 */
class ReconnectPolicy {
public:
    /**
     * @param options bounds of the delays.
     * @param random outlives the policy.
     */
    ReconnectPolicy(const ReconnectOptions& options, RandomSource& random);

    /** @return the time to wait before the next attempt. */
    Duration nextDelay();

    /** The other side has answered: the next delay is short again. */
    void reset() { _ceiling = _options.initialDelay; }

private:
    ReconnectOptions _options;
    RandomSource& _random;
    Duration _ceiling;
};

}  // namespace coralhoist::platform
