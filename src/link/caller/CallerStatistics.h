/** Counters of the callers' side, one for each kind of event. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace coralhoist::caller {

/** One counter under its name in the metrics endpoint. */
struct NamedCounter {
    std::string_view name;
    std::uint64_t value = 0;
};

/** What has happened since the start. Written and read on the callers' thread. */
struct CallerStatistics {
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t connectionsClosed = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t startupTimeouts = 0;
    std::uint64_t sessionsStarted = 0;
    std::uint64_t sessionsDrained = 0;
    std::uint64_t protocolViolations = 0;
    std::uint64_t batchesSubmitted = 0;
    std::uint64_t batchesFailed = 0;
    std::uint64_t readBatches = 0;
    std::uint64_t readBatchesByReplica = 0;
    std::uint64_t writeBatches = 0;
    std::uint64_t statementsRefused = 0;
    std::uint64_t syntaxErrors = 0;
    std::uint64_t tokensRefused = 0;
    std::uint64_t tokenSamples = 0;
    std::uint64_t cancelsAccepted = 0;
    std::uint64_t cancelsIgnored = 0;
    std::uint64_t backPressurePauses = 0;

    /** @return all counters with their names. */
    std::vector<NamedCounter> named() const;
};

}  // namespace coralhoist::caller
