/** A clock that the test moves. */
#pragma once

#include <chrono>

#include "base/Time.h"

namespace coralhoist::testing {

/** Stands still until it is advanced. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return _now; }
    void advance(Duration span) { _now += span; }

private:
    TimePoint _now{std::chrono::hours(1)};
};

}  // namespace coralhoist::testing
