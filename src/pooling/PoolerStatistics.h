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

/** Counts of latencies in buckets of growing width. */
class LatencyHistogram {
public:
    /** Upper bounds of the buckets in milliseconds; one more bucket is above the last. */
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

/** Grows only, but for what says otherwise. */
struct PoolerStatistics {
    std::uint64_t statements = 0;
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryStatements = 0;
    /** Requests that ended with an error, by StatementFault. */
    std::array<std::uint64_t, kStatementFaults> failedByFault{};
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** Statements refused because they were not expected to start in time. */
    std::uint64_t refusedByForecast = 0;
    /** Statements refused because no server that may be used for them will be in time. */
    std::uint64_t refusedByPlacement = 0;
    /** Transactions ended because they must not go on where they are open. */
    std::uint64_t transactionsEndedByPlacement = 0;
    /** Both by the policy's reason. */
    std::map<std::string, std::uint64_t> refusedByReason;
    std::map<std::string, std::uint64_t> endedByReason;
    /** Statements asked again after a refusal, which count from their first arrival. */
    std::uint64_t returnsInTurn = 0;
    std::uint64_t lagging = 0;
    /** Reads that waited for a replica that would soon have their position. */
    std::uint64_t waitedForReplica = 0;
    /** Servers that were ejected for what became of requests, and admitted again. */
    std::uint64_t serversEjected = 0;
    std::uint64_t serversAdmitted = 0;
    std::uint64_t connectionsOpened = 0;
    /** Idle connections closed so that one of another tenant could be opened. */
    std::uint64_t connectionsReplaced = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t proofsWanted = 0;
    /** Statements sent to other nodes, and executed for them. */
    std::uint64_t forwarded = 0;
    std::uint64_t executedForOthers = 0;
    /** Reports of load told to other executors, and taken from them. */
    std::uint64_t loadReportsTold = 0;
    std::uint64_t loadReportsTaken = 0;
    /** Groups that were looked at, in rounds and for what waits; follows what this node does, not
     * the number of groups. */
    std::uint64_t groupsVisited = 0;
    /** Groups whose executors share their servers by need at present; not a counter. */
    std::uint64_t groupsSharing = 0;
    LatencyHistogram latency;
};

}  // namespace coralhoist::pooling
