/** One seeded run of nodes and a group under faults, judged. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/pooled/LogGroup.h"
#include "lab/pooled/PooledFault.h"
#include "lab/pooled/PooledFaults.h"

namespace coralhoist::pooled {

/** What is run. */
struct PooledRunOptions {
    std::uint64_t seed = 1;
    std::vector<PooledFault> faults;
    std::size_t nodes = 3;
    /** Nodes that execute the group's statements; the others forward to them. */
    std::uint32_t executors = 3;
    bool readOnly = false;
    /** Nodes take every primary as proven at all times: the judge must find violations. */
    bool trustsPrimaries = false;
    /** The store shows its era in each answer, as one that may return older does. */
    bool showsEras = false;
    GroupModel group;
    /** A second group of the same model, which no fault of servers strikes. */
    bool twoGroups = false;
};

/** What came of it. */
struct PooledReport {
    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    std::size_t acknowledgedAfterFaults = 0;
    std::size_t reads = 0;
    std::uint64_t promotions = 0;
    std::uint64_t plannedMoves = 0;
    /** Longest time between two acknowledged commits from the first fault on. */
    Duration longestWriteGap{0};
    /** Proofs of leadership that servers gave while the store was silent. */
    std::uint64_t provenByServers = 0;
    /** Statements that were executed by another node than the one asked. */
    std::uint64_t forwarded = 0;
    /** Orders and status questions that took 100 ms or longer, and those refused. */
    std::uint64_t slowOrders = 0;
    std::uint64_t refusedOrders = 0;
    /** Connections that found another server than they expected. */
    std::uint64_t wrongServers = 0;
    /** Promotion calls that were not answered, and those that found a restarting server. */
    std::uint64_t unansweredCalls = 0;
    std::uint64_t callsToRestarting = 0;
    FaultCounts faults;
};

/** Runs to the end; the same options give the same report. */
PooledReport runPooled(const PooledRunOptions& options);

}  // namespace coralhoist::pooled
