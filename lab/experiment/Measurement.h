/** Collects what the callers of one run see. */
#pragma once

#include <set>
#include <vector>

#include "lab/experiment/Deployment.h"
#include "lab/experiment/LatencyRecorder.h"
#include "lab/experiment/ProxySystem.h"
#include "lab/experiment/RunResult.h"

namespace coralhoist::experiment {

/** How a request of the load ended for its caller. */
struct RequestOutcome {
    std::size_t loadClass = 0;
    /** Open loop: the latency counts from here, whatever held the request up. */
    TimePoint intendedAt{};
    bool succeeded = false;
    bool servedByReplica = false;
};

/** Counts and latencies of one run; requests of the warm-up are left out of all but the promises.
 */
class Measurement {
public:
    /** @param deployment outlives the measurement. */
    explicit Measurement(Deployment& deployment);

    void onAttemptFailed(const std::string& sqlState) { ++_result.errors[sqlState]; }
    void onEnded(const RequestOutcome& outcome);
    void onAcknowledged(std::size_t group, simulation::WriteNumber write);
    void onOwnRead(bool sawOwnWrite);
    /** Records queues and connections of this moment. */
    void sample(const QueueLengths& queues);

    /** Judges the promises against the final data. @param unanswered requests without an end. */
    RunResult finish(std::uint64_t seed, std::uint64_t unanswered);

private:
    /** What is known of one second. */
    struct Second {
        std::vector<LatencyRecorder> latencies;
        std::uint64_t reads = 0;
        std::uint64_t replicaReads = 0;
        std::uint64_t samples = 0;
        TimelinePoint sums;
    };
    /** A write that its caller believes to have landed. */
    struct Acknowledged {
        simulation::WriteNumber write = 0;
        TimePoint at{};
    };

    double secondsSinceStart(TimePoint time) const;
    Second& secondOf(TimePoint time);
    void judgeWrites();
    FailoverGap gapOf(const FaultEvent& fault, const std::set<simulation::WriteNumber>& final);
    std::vector<TimelinePoint> timeline() const;

    Deployment& _deployment;
    TimePoint _start;
    std::vector<LatencyRecorder> _latencies;
    std::vector<Second> _seconds;
    std::vector<std::vector<Acknowledged>> _acknowledged;
    std::uint64_t _reads = 0;
    std::uint64_t _replicaReads = 0;
    RunResult _result;
};

}  // namespace coralhoist::experiment
