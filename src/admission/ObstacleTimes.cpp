#include "admission/ObstacleTimes.h"

namespace coralhoist::admission {
namespace {

/** An obstacle that has blocked no statement for this long has ended. */
constexpr Duration kOver = std::chrono::milliseconds(150);
/** A new duration is weighted with one part in this many. */
constexpr int kSmoothing = 4;
/** Number of ended obstacles needed for a forecast: a single one may have been an exception. */
constexpr std::uint32_t kMinEnds = 3;

}  // namespace

void ObstacleTimes::noteSeen(std::string_view name, TimePoint now) {
    Obstacle& obstacle = _obstacles[name];
    // If no review took place since the previous occurrence ended, that occurrence is still open.
    endIfOver(obstacle, now);
    if (!obstacle.since) {
        obstacle.since = now;
    }
    obstacle.seenAt = now;
}

void ObstacleTimes::noteReview(TimePoint now) {
    for (auto& [name, obstacle] : _obstacles) {
        endIfOver(obstacle, now);
    }
}

void ObstacleTimes::endIfOver(Obstacle& obstacle, TimePoint now) {
    if (!obstacle.since || now - obstacle.seenAt < kOver) {
        return;
    }
    const Duration lasted = obstacle.seenAt - *obstacle.since;
    obstacle.usual =
        obstacle.ends == 0 ? lasted : obstacle.usual + (lasted - obstacle.usual) / kSmoothing;
    ++obstacle.ends;
    obstacle.since.reset();
}

std::optional<Duration> ObstacleTimes::untilEnd(std::string_view name, TimePoint now) const {
    const auto found = _obstacles.find(name);
    if (found == _obstacles.end() || !found->second.since || found->second.ends < kMinEnds) {
        return std::nullopt;
    }
    const TimePoint end = *found->second.since + found->second.usual;
    return now < end ? std::optional<Duration>(end - now) : std::nullopt;
}

}  // namespace coralhoist::admission
