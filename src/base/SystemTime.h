/** Production implementations of the interfaces in Time.h. */
#pragma once

#include <random>

#include "base/Time.h"

namespace coralhoist {

/** Clock backed by std::chrono::steady_clock. */
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/** Random source backed by a Mersenne twister. One instance belongs to one thread. */
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed) : _engine(seed) {}
    std::uint64_t next() override { return _engine(); }

private:
    std::mt19937_64 _engine;
};

}  // namespace coralhoist
