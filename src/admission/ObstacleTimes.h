/** Estimates how long conditions other than the queue block a group's statements. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/Time.h"

namespace coralhoist::admission {

/** Covers a missing primary, a promotion that has not settled and unproven leadership: no queue
 * moves while they last, but each ends after a time that previous occurrences predict. */
class ObstacleTimes {
public:
    /** Records that the obstacle blocks statements at this time. @param name of static storage. */
    void noteSeen(std::string_view name, TimePoint now);

    /** Ends the obstacles that have not blocked statements lately. */
    void noteReview(TimePoint now);

    /**
     * @return the time until the obstacle usually ends; nothing when too few occurrences have been
     * seen, or when this one has lasted longer than they usually did.
     */
    std::optional<Duration> untilEnd(std::string_view name, TimePoint now) const;

private:
    struct Obstacle {
        std::optional<TimePoint> since;
        TimePoint seenAt{};
        /** Smoothed duration of the obstacle, and how many times it was seen to end. */
        Duration usual{0};
        std::uint32_t ends = 0;
    };

    static void endIfOver(Obstacle& obstacle, TimePoint now);

    std::map<std::string_view, Obstacle> _obstacles;
};

}  // namespace coralhoist::admission
