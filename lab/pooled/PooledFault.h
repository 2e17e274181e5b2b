/** The faults of seeded runs, and in which combinations they are played. */
#pragma once

#include <cstddef>
#include <vector>

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
    LinkBreaks,          /**< Connections between two nodes break, several times. */
    NodeSilenced,        /**< A node is cut off from the other nodes, and from nothing else. */
    ServersCrowded,      /**< Slow, and orders wait for a slot for 100 to 1,200 ms. */
    NodesCutFromServers, /**< Nodes are cut off from one server each, not all from the same. */
    OldPrimaryLeadsOn,   /**< Replaced while cut off; then nodes reach it and its successor in turn.
                          */
    AnnouncementsLapse,  /**< Servers that serve are not announced, one or all after the store's. */
    ServerRenamed,       /**< One drains, ends and is back under a new name with its log. */
    ReplicaReplaced,     /**< One leaves with its log, and an empty one joins. */
    PromotionCallTroubled, /**< Calls are not answered, done late, or find a restarting server. */
    ReplicasRestart,       /**< Quick restarts in a series: pauses are forgotten. */
    StoreReturnsOlder,     /**< The store is away and back from a copy of seconds before. */
    AllNodesDieAtReturn,   /**< The same, and all nodes lose power as it is back. */
    PrimaryMisplaced,      /**< Nodes learn one by one that it must not lead, then that it may. */
    PromotionUnheard, /**< One node reaches the primary and neither the store nor other nodes; the
                         others lose the primary, and replicas restart as they promote. */
    ServicesMove, /**< Services move to the other group and back, in a series; of runs with two. */
};

/** Number of the first fault that only servers with slots and heartbeats are played with. */
inline constexpr std::size_t kFirstServerFault = 16;
inline constexpr std::size_t kPooledFaultCount = 24;

/** @return returns of the store: one, two, three, and one or two with each other fault. */
std::vector<std::vector<PooledFault>> storeReturnPlans();

/** @return misplaced primaries: one, two in series, and one with each other fault. */
std::vector<std::vector<PooledFault>> misplacedPlans();

/** @return services that move: alone, beside each other fault, and in several series at once. */
std::vector<std::vector<PooledFault>> serviceMovePlans();

/** @return the single faults before kFirstServerFault, and all pairs of them. */
std::vector<std::vector<PooledFault>> allPooledFaultPlans();

/** @return the single faults from kFirstServerFault on, and all pairs with one of them. */
std::vector<std::vector<PooledFault>> serverFaultPlans();

/** @return crowded servers of which a replica lags behind, with each fault that ends a primary. */
std::vector<std::vector<PooledFault>> crowdedPromotionPlans();

}  // namespace coralhoist::pooled
