/** Counters, gauges and status report of one group executor. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::contract {

/** Counters since the start of the process, and current gauges. */
struct ExecutorStatistics {
    // Counters of requests.
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t readsServedByReplica = 0;
    std::uint64_t readsServedByPrimary = 0;
    std::uint64_t writesAcknowledged = 0;
    /** Refused because a queue was full or the deadline passed before execution. */
    std::uint64_t shed = 0;
    std::uint64_t refusedNotRun = 0;
    std::uint64_t outcomeUnknown = 0;
    /** Answered from the recorded outcome of a request key. */
    std::uint64_t answeredFromRecord = 0;
    // Counters of internal mechanisms.
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t guardFailures = 0;
    std::uint64_t statusSamples = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsLost = 0;
    std::uint64_t connectsRefused = 0;
    std::uint64_t transactionsTimedOut = 0;
    std::uint64_t primaryChanges = 0;
    // Gauges.
    std::uint64_t requestsInFlight = 0;
    std::uint64_t urgentQueued = 0;
    std::uint64_t ordinaryQueued = 0;
    std::uint64_t openTransactions = 0;
    std::uint64_t connectionsOpen = 0;
    std::uint64_t connectionsBusy = 0;
    /**
     * Time between the last acknowledged write before the latest change of primary and the first
     * one after it.
     */
    Duration lastFailoverGap{0};
};

/** State of one database server as observed by this proxy. */
struct ServerReport {
    ServerName server;
    bool primary = false;
    bool healthy = false;
    bool leaving = false;
    Term term = 0;
    LogPosition receivedPosition = 0;
    LogPosition replayedPosition = 0;
    /** Time since the server was last known to hold every write that was acknowledged by then. */
    std::optional<Duration> lag;
    std::uint32_t connectionsOpen = 0;
    std::uint32_t connectionsBusy = 0;
    std::uint32_t queued = 0;
    /** Most recent failure; empty when the server has answered since without a failure. */
    std::string lastFailure;
};

/** State of the group as observed by this proxy. */
struct GroupReport {
    GroupName group;
    /** Confirmed primary; empty while none is known. */
    std::optional<ServerName> primary;
    Term term = 0;
    bool draining = false;
    std::vector<ServerReport> servers;
};

}  // namespace coralhoist::contract
