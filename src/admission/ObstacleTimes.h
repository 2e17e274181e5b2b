/** How long what hinders a group's statements, and is no queue, usually lasts. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/Time.h"

namespace coralhoist::admission {

/**
 * Answers a primary that is gone, a promotion that settles and leadership that is unproven: no
 * queue moves on then, but each ends after a time that the former ones tell.
 */
class ObstacleTimes {
public:
    /** The obstacle hinders statements at this time. @param name of static storage. */
    void noteSeen(std::string_view name, TimePoint now);

    /** Ends the obstacles that hindered nothing at the last look. */
    void noteLook(TimePoint now);

    /**
     * @return the time until the obstacle usually ends; nothing when too few have been seen, or
     * when this one has lasted longer than they did.
     */
    std::optional<Duration> untilEnd(std::string_view name, TimePoint now) const;

private:
    struct Obstacle {
        std::optional<TimePoint> since;
        TimePoint seenAt{};
        /** Smoothed time for which it lasted, and how many times it was seen to end. */
        Duration usual{0};
        std::uint32_t ends = 0;
    };

    static void endIfOver(Obstacle& obstacle, TimePoint now);

    std::map<std::string_view, Obstacle> _obstacles;
};

}  // namespace coralhoist::admission
