/** A randomized soak of real proxy processes on one machine under faults from outside them. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"
#include "lab/pooled/LogGroup.h"

namespace coralhoist::soak {

/** What is run. */
struct SoakOptions {
    std::uint64_t seed = 1;
    /** Time with faults, in seconds; start and recovery come on top. */
    std::uint32_t seconds = 20;
    /** Seconds that the proxies may take to recover after the last fault; 6 at least. */
    std::uint32_t recoverySeconds = 6;
    std::uint32_t proxies = 4;
    std::uint32_t callers = 24;
    bool faults = true;
    /** Callers come as tenants with quotas. */
    bool tenants = false;
    /** Settings change in quick succession beside outages and lost sources, in place of the other
     * faults; judged is how soon they are in force. */
    bool settings = false;
    /** The store returns from older copies, in series, beside the faults that are played. */
    bool returns = false;
    /** Proxies stop as planned, one after another, while servers refuse or are slow, in place of
     * the other faults; judged is that nothing that a proxy has read is left without an answer. */
    bool stops = false;
    /** Proxies freeze in the steps of promotions, in place of the other faults, and the platform
     * compares no fencing tokens. */
    bool freezes = false;
    /** Zones are evacuated and given back in series, in place of the other faults. */
    bool evacuations = false;
    /** Path of the proxy's program. */
    std::string program;
    /** Folder for the logs of the proxies. */
    std::string logFolder = ".";
    /** A model that breaks a promise on purpose shows that the judge sees it. */
    pooled::GroupModel group;
};

/** What came of it. */
struct SoakReport {
    /** Why the run could not be carried out; empty when it was. */
    std::string problem;
    std::vector<std::string> violations;
    /** Faults, promotions and what servers had by then, with milliseconds from the start. */
    std::vector<std::string> timeline;
    std::size_t faults = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::size_t acknowledged = 0;
    /** Commits acknowledged in the last two seconds, after everything had healed. */
    std::size_t acknowledgedAfterFaults = 0;
    /** Whether the proxies served again within the time given. */
    bool recovered = false;
    /** Time from the last fault's end to the end of the judged part. */
    Duration recovery{0};
    std::uint64_t promotions = 0;
    /** Answers that were held to the bound of the settings. */
    std::size_t settingsJudged = 0;
    /** Evacuations whose zone had to be empty for some time. */
    std::size_t evacuationsJudged = 0;
    /** Busiest windows of the tenants and their bounds, in words; empty without tenants. */
    std::string quotas;
};

/** Runs to the end on the Qt event loop of the calling thread. */
SoakReport runSoak(const SoakOptions& options);

}  // namespace coralhoist::soak
