/** What a run measured. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coralhoist::experiment {

/** One class of requests; latencies in milliseconds from the intended start, retries included. */
struct ClassResult {
    std::string name;
    std::uint64_t succeeded = 0;
    /** Given up by their callers; they count with the time they had waited. */
    std::uint64_t gaveUp = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double maximum = 0;
};

/** Time during which writes could not land after a primary failed. */
struct FailoverGap {
    std::string fault;
    std::size_t group = 0;
    /** Seconds since the start of the run. */
    double at = 0;
    /** The longest time without a lasting, acknowledged write that began after or held the fault.
     */
    double milliseconds = 0;
    /** The part of it until the group had elected a new primary; no proxy can be faster. */
    double electionMilliseconds = 0;
};

/** One second of the run. */
struct TimelinePoint {
    double second = 0;
    /** 99th percentile of each class in milliseconds, by intended start; nothing without request.
     */
    std::vector<std::optional<double>> p99;
    std::optional<double> replicaShare;
    double urgentQueued = 0;
    double ordinaryQueued = 0;
    double connections = 0;
};

/** One system, one seed. */
struct RunResult {
    std::uint64_t seed = 0;
    std::vector<ClassResult> classes;
    /** Failed attempts by SQLSTATE. */
    std::map<std::string, std::uint64_t> errors;
    std::vector<FailoverGap> gaps;
    /** Share of the successful reads that a replica answered. */
    double replicaShare = 0;
    std::uint64_t ownReads = 0;
    std::uint64_t staleOwnReads = 0;
    std::uint64_t acknowledgedWrites = 0;
    std::uint64_t lostWrites = 0;
    std::uint64_t doubledWrites = 0;
    /** Requests that got no answer at all; a fault of the experiment or of the proxies. */
    std::uint64_t unanswered = 0;
    std::vector<TimelinePoint> timeline;
};

/** All runs of one system. */
struct SystemResult {
    std::string system;
    std::string description;
    std::vector<RunResult> runs;
};

/** A fault as a report names it. */
struct FaultNote {
    std::string kind;
    std::size_t group = 0;
    double at = 0;
    double duration = 0;
};

/** All systems of one experiment. */
struct ExperimentResult {
    std::string scenario;
    /** Repeats the experiment. */
    std::string command;
    std::uint64_t seed = 0;
    std::size_t repeats = 0;
    double durationSeconds = 0;
    double warmUpSeconds = 0;
    /** Share of a primary's slots that all load together would take. */
    double primaryLoadIfAlone = 0;
    std::vector<std::string> classNames;
    std::vector<FaultNote> faults;
    std::vector<SystemResult> systems;
};

}  // namespace coralhoist::experiment
