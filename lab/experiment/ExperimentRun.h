/** Runs a scenario on the real decision classes and on the baselines. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/experiment/RunResult.h"
#include "lab/experiment/Scenario.h"

namespace coralhoist::experiment {

/** What is compared. */
enum class SystemKind {
    Coralhoist, /**< The real router and executors. */
    Primary,    /**< All to the primary; fails at once while there is none. */
    Split,      /**< Reads to the replicas in turn, without sessions. */
    Pool,       /**< All to the primary through a queue without priorities that waits for one. */
};

/** All systems in the order in which an experiment runs them. */
inline constexpr SystemKind kAllSystems[] = {SystemKind::Coralhoist, SystemKind::Primary,
                                             SystemKind::Split, SystemKind::Pool};

const char* systemName(SystemKind kind);
const char* systemDescription(SystemKind kind);

/** Runs one system once in virtual time. The same arguments give the same result. */
RunResult runSystem(const Scenario& scenario, SystemKind kind, std::uint64_t seed);

/**
 * Runs the systems in turn, each with the same seeds.
 * @param repeats runs of each system, with the seeds seed, seed + 1, ...
 */
ExperimentResult runExperiment(const Scenario& scenario, const std::vector<SystemKind>& systems,
                               std::uint64_t seed, std::size_t repeats);

}  // namespace coralhoist::experiment
