/** Plays fault plans with many seeds and checks what came of them. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/pooled/PooledRun.h"

namespace coralhoist::pooled {

/** @return the number in an environment variable, or the default without it. */
std::uint64_t numberFromEnvironment(const char* name, std::uint64_t byDefault);

/** @return servers with few slots, whose announcements go after three heartbeats of silence. */
PooledRunOptions crowdedOptions();

/** @return whether callers were served again after the faults. */
bool hasRecovered(const PooledReport& report);

/** Runs everything, a few at a time. @return the reports in the order of the runs. */
std::vector<PooledReport> runAll(const std::vector<PooledRunOptions>& runs);

/** Plays each plan once a round; each run must keep the promises and recover. */
void checkPlans(const PooledRunOptions& base, const std::vector<std::vector<PooledFault>>& plans,
                std::uint64_t roundCount);

}  // namespace coralhoist::pooled
