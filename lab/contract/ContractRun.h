/** One seeded run: proxies, a group, callers and faults, judged at the end. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/contract/FaultPlan.h"
#include "lab/contract/SimulatedGroup.h"

namespace coralhoist::simulation {

/** What is run. */
struct RunOptions {
    std::uint64_t seed = 1;
    FaultPlan plan;
    GroupModel group;
    std::size_t proxies = 3;
    std::size_t sessions = 6;
    /** Servers report positions that they do not have: the run must then find violations. */
    bool serversLie = false;
};

/** What came of it. */
struct RunReport {
    std::vector<std::string> violations;
    std::size_t acknowledgedWrites = 0;
    std::size_t unknownWrites = 0;
    std::size_t reads = 0;
    std::uint64_t readsByReplica = 0;
    std::uint64_t readsByPrimary = 0;
    std::uint64_t events = 0;
    /** Longest time without an acknowledged write around a change of primary, over all proxies. */
    Duration failoverGap{0};
};

/** Runs to the end; the same options give the same report. */
RunReport runContract(const RunOptions& options);

}  // namespace coralhoist::simulation
