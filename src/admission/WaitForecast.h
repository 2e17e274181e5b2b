/** Forecasts how long a statement waits for a slot, from recent waits of statements of its class.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::admission {

/** Statements whose waits are forecast together: those of one service and one kind of unit. Not the
 * flows of FairShares, which are tenants. */
struct StatementClass {
    ServiceName service;
    /** Number of the kind, which determines the servers that it can use and its time there. */
    std::uint32_t kind = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the generated comparison for a null.
    auto operator<=>(const StatementClass&) const = default;
};

/** The part of the queue that a statement of a class is in. */
enum class Lane {
    OnTime, /**< It can still meet its objective. */
    Late,   /**< It follows the statements that can. */
};

/** Number of queued statements in each lane of a class. */
struct LaneCounts {
    std::size_t onTime = 0;
    std::size_t late = 0;
};

/**
 * Forecasts waits when more statements arrive than the usable slots serve. The length of the queue
 * alone is not enough: statements that are more urgent, shorter or on time overtake others, servers
 * shed load, and lagging replicas serve no reads. All of that shows in the rate at which statements
 * of one class and lane start while others of them are queued, so the forecast is the start
 * interval times the number of statements ahead.
 *
 * A few starts more than those seen are assumed: without an observation the forecast is zero, and a
 * lane that gets no slot has to be observed for a while before anything is inferred from it.
 */
class WaitForecast {
public:
    /** Records that a statement has been sent to a server. */
    void noteStart(const StatementClass& statementClass, Lane lane);

    /** Takes the number of queued statements. Called every few milliseconds while any are queued.
     */
    void observe(TimePoint now, const std::map<StatementClass, LaneCounts>& waiting);

    /** @return the interval between two starts in the lane; zero when it has not been observed. */
    Duration pace(const StatementClass& statementClass, Lane lane) const;

    /**
     * @param ahead statements of the same class that precede the statement.
     * @param onTimeLeft time after which the statement is late; zero or less when it is late
     *        already.
     * @return the time until the statement starts.
     */
    Duration waitOf(const StatementClass& statementClass, const LaneCounts& ahead,
                    Duration onTimeLeft) const;

    /** @return the number of lanes with an observation. */
    std::size_t size() const { return _observations.size(); }

private:
    using Key = std::pair<StatementClass, Lane>;
    struct Observation {
        /** Time for which the lane was observed while statements were queued in it, with decay. */
        Duration watched{0};
        /** Starts within that time, with the same decay. */
        double starts = 0;
        /** Starts since the last call of observe. */
        std::uint32_t newStarts = 0;
        bool waiting = false;
    };

    void update(Observation& observation, Duration span, bool waiting) const;

    std::map<Key, Observation> _observations;
    std::optional<TimePoint> _observedAt;
};

}  // namespace coralhoist::admission
