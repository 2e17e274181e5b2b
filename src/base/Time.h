/**
 * Time and randomness as injected dependencies.
 *
 * Decision classes never read a clock or a random source of the process. They take a TimePoint as a
 * parameter or one of the interfaces below, so that a simulation can replay them from a seed.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace coralhoist {

/** A span of time in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** A point on a monotonic time line. Only differences between points of one process have meaning.
 */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Source of the current time. */
class Clock {
public:
    virtual ~Clock() = default;

    /** @return the current monotonic time. */
    virtual TimePoint now() const = 0;
};

/** Source of random numbers. */
class RandomSource {
public:
    virtual ~RandomSource() = default;

    /** @return 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;

    /**
     * @param bound exclusive upper bound, at least 1.
     * @return a number in [0, bound), with a bias below bound / 2^64.
     */
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /** @return a number in [0, 1). */
    double fraction() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

}  // namespace coralhoist
