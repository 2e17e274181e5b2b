/** One seeded run of nodes and a group under faults, judged. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/pooled/LogGroup.h"

namespace coralhoist::pooled {

/** What goes wrong; each begins at a random moment and is healed later. */
enum class PooledFault {
    PrimaryCrashes,
    PrimaryCutFromReplicas,
    PrimaryCutFromSomeNodes,
    PrimaryCutFromAllNodes,
    PrimaryLeaves, /**< Announces it, serves on for a while and ends. */
    ReplicaDeaf,   /**< Receives nothing, and says nothing of it. */
    ReplicaCrashes,
    ReplicaLags,
    NodeFreezes,
    NodeDies,
    NodeCutFromStore,
    StoreDown,
    StoreAnswersLost, /**< Done at once or seconds later, never answered. */
    AnswersLost,
    LinkBreaks,   /**< Connections between two nodes break, several times. */
    NodeSilenced, /**< A node is cut off from the other nodes, and from nothing else. */
};

inline constexpr std::size_t kPooledFaultCount = 16;

/** What is run. */
struct PooledRunOptions {
    std::uint64_t seed = 1;
    std::vector<PooledFault> faults;
    std::size_t nodes = 3;
    /** Nodes that execute the group's statements; the others forward to them. */
    std::uint32_t executors = 3;
    bool readOnly = false;
    GroupModel group;
};

/** What came of it. */
struct PooledReport {
    std::vector<std::string> violations;
    std::size_t acknowledged = 0;
    std::size_t acknowledgedAfterFaults = 0;
    std::size_t reads = 0;
    std::uint64_t promotions = 0;
    /** Proofs of leadership that servers gave while the store was silent. */
    std::uint64_t provenByServers = 0;
    /** Statements that were executed by another node than the one asked. */
    std::uint64_t forwarded = 0;
};

/** @return all single faults and all pairs. */
std::vector<std::vector<PooledFault>> allPooledFaultPlans();

/** Runs to the end; the same options give the same report. */
PooledReport runPooled(const PooledRunOptions& options);

}  // namespace coralhoist::pooled
