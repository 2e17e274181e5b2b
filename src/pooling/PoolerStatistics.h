/** Counters of the pooler, for metrics. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/Time.h"
#include "pooling/Statement.h"

namespace coralhoist::pooling {

/** Histogram of latencies with buckets of increasing width. */
class LatencyHistogram {
public:
    /**
     * Upper bounds of the buckets in milliseconds; one more bucket holds everything above the last
     * bound.
     */
    static constexpr std::array<std::uint32_t, 12> kBoundsMs{1,   2,   5,   10,  25,   50,
                                                             100, 200, 400, 800, 1500, 3000};

    void add(Duration latency) {
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(latency).count();
        std::size_t bucket = 0;
        while (bucket < kBoundsMs.size() && milliseconds >= kBoundsMs[bucket]) {
            ++bucket;
        }
        ++_counts[bucket];
        _sum += latency;
    }

    const std::array<std::uint64_t, kBoundsMs.size() + 1>& counts() const { return _counts; }
    Duration sum() const { return _sum; }

private:
    std::array<std::uint64_t, kBoundsMs.size() + 1> _counts{};
    Duration _sum{0};
};

/** Statistics of a pooler. All values are monotonic counters unless noted otherwise. */
struct PoolerStatistics {
    std::uint64_t statements = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryStatements = 0;
    /** Statements that ended with an error, by StatementFault. */
    std::array<std::uint64_t, kStatementFaults> failedByFault{};
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** Statements refused because they were not expected to start in time. */
    std::uint64_t refusedByForecast = 0;
    /** Statements refused because no permitted server is expected to become available in time. */
    std::uint64_t refusedByPlacement = 0;
    /**
     * Transactions ended because the policy forbids to continue them on the server or node where
     * they are open.
     */
    std::uint64_t transactionsEndedByPlacement = 0;
    /** The counts refusedByPlacement and transactionsEndedByPlacement by the policy's reason. */
    std::map<std::string, std::uint64_t> refusedByReason;
    std::map<std::string, std::uint64_t> endedByReason;
    /**
     * Statements retried by the caller after a refusal; their waiting time counts from the first
     * arrival.
     */
    std::uint64_t retriesAfterRefusal = 0;
    std::uint64_t lagging = 0;
    /** Reads that waited for a replica that was about to reach their position. */
    std::uint64_t waitedForReplica = 0;
    /**
     * Servers that outlier detection ejected because of the outcomes of requests, and servers that
     * it admitted again.
     */
    std::uint64_t serversEjected = 0;
    std::uint64_t serversAdmitted = 0;
    std::uint64_t connectionsOpened = 0;
    /** Idle connections closed so that a connection of another tenant could be opened. */
    std::uint64_t connectionsReplaced = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t proofsWanted = 0;
    /** Acknowledged commits that were held until their primary's leadership was proven. */
    std::uint64_t commitsHeld = 0;
    /** Statements forwarded to other nodes, and statements executed for other nodes. */
    std::uint64_t forwarded = 0;
    std::uint64_t executedForOthers = 0;
    /** Load reports sent to other executors, and load reports received from them. */
    std::uint64_t loadReportsSent = 0;
    std::uint64_t loadReportsReceived = 0;
    /**
     * Groups visited, in periodic rounds and for queued statements; the count grows with the work
     * of this node, not with the number of groups.
     */
    std::uint64_t groupsVisited = 0;
    /** Groups whose executors currently share their servers by demand; a gauge, not a counter. */
    std::uint64_t groupsSharing = 0;
    LatencyHistogram latency;
};

}  // namespace coralhoist::pooling
