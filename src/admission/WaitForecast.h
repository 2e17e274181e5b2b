/** How long a statement will wait for a slot, from what its kind has waited for lately. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::admission {

/** Statements whose waits are forecast together: of one service and one kind of unit. Not the flows
 * of FairShares, which are tenants. */
struct StatementClass {
    ServiceName service;
    /** Number of the kind: what it needs of servers and how long it takes there. */
    std::uint32_t kind = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the generated comparison for a null.
    auto operator<=>(const StatementClass&) const = default;
};

/** Where a statement of a class stands in the queue. */
enum class Lane {
    OnTime, /**< It may still meet its objective. */
    Late,   /**< It goes after those that may. */
};

/** How many of each lane of a class wait. */
struct LaneCounts {
    std::size_t onTime = 0;
    std::size_t late = 0;
};

/**
 * Answers a load of more statements than the usable slots serve, where the queue itself tells too
 * little: those that are more urgent, shorter or on time overtake, servers shed, and replicas that
 * lag serve nobody. All of that shows in the pace at which statements of one class and lane are
 * started while others of them wait, so the forecast is that pace times the number ahead.
 *
 * A few starts more than were seen are assumed: without an observation the forecast is zero, and a
 * lane that gets no slot has to be watched for a while before anything is inferred from it.
 */
class WaitForecast {
public:
    /** A statement has been sent to a server. */
    void noteStart(const StatementClass& statementClass, Lane lane);

    /** Takes what waits now. Called every few milliseconds while anything waits. */
    void observe(TimePoint now, const std::map<StatementClass, LaneCounts>& waiting);

    /** @return the time between two starts in the lane; zero when it has not been observed. */
    Duration pace(const StatementClass& statementClass, Lane lane) const;

    /**
     * @param ahead statements of its class that go before it.
     * @param onTimeLeft time after which the statement is late; zero or less when it is.
     * @return the time until it starts.
     */
    Duration waitOf(const StatementClass& statementClass, const LaneCounts& ahead,
                    Duration onTimeLeft) const;

    /** @return the lanes of which something is remembered. */
    std::size_t size() const { return _observations.size(); }

private:
    using Key = std::pair<StatementClass, Lane>;
    struct Observation {
        /** Time for which the lane was watched while statements waited in it, faded. */
        Duration watched{0};
        /** Starts within it, faded alike. */
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
