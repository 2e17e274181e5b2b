/** The faults of a run. */
#pragma once

#include <optional>
#include <vector>

namespace coralhoist::simulation {

/** What goes wrong; each begins at a random moment and is healed later. */
enum class Fault {
    PrimaryIsolated,  /**< Cut off from its group; it still believes that it leads and answers. */
    PrimaryCrashes,   /**< And starts again later, as a replica. */
    PrimaryPaused,    /**< Halted unaware, then it goes on. */
    ReplicaLags,      /**< Receives and replays late. */
    ReplicaFarBehind, /**< Cut off for long, then it catches up in parts. */
    ProxyDies,        /**< In the middle of whatever it does. */
    ProxyPaused,      /**< Halted unaware, as when its lease lapses. */
    ProxyCutFromPrimary, /**< The others still reach it. */
    AnswersLost,         /**< Connections break with statements and answers on their way. */
    OwnersOverlap,       /**< Each proxy believes that it owns all connections of the servers. */
    ServerLeaves, /**< An operator marks the primary as leaving; proxies hear it at different times.
                   */
    SwitchOver,   /**< The primary hands over as planned. */
    ProxyDrains,  /**< Planned stop of a proxy. */
};

inline constexpr std::size_t kFaultCount = 13;

/** One or two faults that come in the same run. */
struct FaultPlan {
    std::vector<Fault> faults;
};

/** @return the plans of all single faults and all pairs, a fault paired with itself included. */
std::vector<FaultPlan> allFaultPlans();

}  // namespace coralhoist::simulation
