/** Exponential back-off with jitter. */
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace coralhoist {

/** @return the pause after the given one: twice as long, within the bounds. */
inline Duration nextBackoff(Duration current, Duration minimum, Duration maximum) {
    return std::clamp(current * 2, minimum, maximum);
}

/** @return a random pause between half of the given one and all of it. */
inline Duration withJitter(Duration pause, RandomSource& random) {
    const double scaled = static_cast<double>(pause.count()) * (0.5 + random.fraction() / 2);
    return Duration(static_cast<Duration::rep>(scaled));
}

}  // namespace coralhoist
