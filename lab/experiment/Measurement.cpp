#include "lab/experiment/Measurement.h"

#include <algorithm>

namespace coralhoist::experiment {
namespace {

constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.99;
constexpr double kHighestQuantile = 0.999;
/** Room for arrivals above the mean. */
constexpr double kArrivalMargin = 2;
constexpr std::size_t kLeastRoom = 1000;
/** A gap that begins later than this after a fault is not its gap. */
constexpr Duration kGapWindow = std::chrono::seconds(10);

/** @return requests of a class expected per second; own readings follow writes. */
double expectedRate(const Scenario& scenario, const LoadClass& load) {
    if (load.kind != LoadKind::OwnRead) {
        return load.ratePerSecond;
    }
    double rate = 0;
    for (const LoadClass& other : scenario.load) {
        rate += other.ratePerSecond * other.readBackShare;
    }
    return rate;
}

std::size_t roomFor(const Scenario& scenario, const LoadClass& load, double seconds) {
    const double expected = expectedRate(scenario, load) * seconds * kArrivalMargin;
    return static_cast<std::size_t>(expected) + kLeastRoom;
}

double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

double toMilliseconds(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Measurement::Measurement(Deployment& deployment)
    : _deployment(deployment),
      _start(deployment.queue().now()),
      _acknowledged(deployment.scenario().groups.count) {
    const Scenario& scenario = deployment.scenario();
    const double length = toSeconds(scenario.duration);
    _seconds.resize(std::max<std::size_t>(1, static_cast<std::size_t>(length)));
    for (const LoadClass& load : scenario.load) {
        _latencies.emplace_back(roomFor(scenario, load, length));
        for (Second& second : _seconds) {
            second.latencies.emplace_back(roomFor(scenario, load, 1));
        }
        ClassResult result;
        result.name = load.name;
        _result.classes.push_back(std::move(result));
    }
}

double Measurement::secondsSinceStart(TimePoint time) const {
    return toSeconds(time - _start);
}

Measurement::Second& Measurement::secondOf(TimePoint time) {
    const auto index = static_cast<std::size_t>(secondsSinceStart(time));
    return _seconds[std::min(index, _seconds.size() - 1)];
}

void Measurement::onEnded(const RequestOutcome& outcome) {
    const Scenario& scenario = _deployment.scenario();
    const Duration latency = _deployment.queue().now() - outcome.intendedAt;
    Second& second = secondOf(outcome.intendedAt);
    second.latencies[outcome.loadClass].add(latency);
    const bool isRead = scenario.load[outcome.loadClass].kind != LoadKind::KeyedWrite;
    if (isRead && outcome.succeeded) {
        ++second.reads;
        second.replicaReads += outcome.servedByReplica ? 1 : 0;
    }
    if (outcome.intendedAt - _start < scenario.warmUp) {
        return;
    }
    _latencies[outcome.loadClass].add(latency);
    ClassResult& result = _result.classes[outcome.loadClass];
    ++(outcome.succeeded ? result.succeeded : result.gaveUp);
    if (isRead && outcome.succeeded) {
        ++_reads;
        _replicaReads += outcome.servedByReplica ? 1 : 0;
    }
}

void Measurement::onAcknowledged(std::size_t group, simulation::WriteNumber write) {
    _acknowledged[group].push_back({write, _deployment.queue().now()});
    ++_result.acknowledgedWrites;
}

void Measurement::onOwnRead(bool sawOwnWrite) {
    ++_result.ownReads;
    _result.staleOwnReads += sawOwnWrite ? 0 : 1;
}

void Measurement::sample(const QueueLengths& queues) {
    Second& second = secondOf(_deployment.queue().now());
    ++second.samples;
    second.sums.urgentQueued += static_cast<double>(queues.urgent);
    second.sums.ordinaryQueued += static_cast<double>(queues.ordinary);
    second.sums.connections += static_cast<double>(_deployment.openConnections());
}

void Measurement::judgeWrites() {
    const Scenario& scenario = _deployment.scenario();
    std::vector<std::set<simulation::WriteNumber>> finals;
    for (std::size_t group = 0; group < scenario.groups.count; ++group) {
        const std::vector<simulation::WriteNumber> writes = _deployment.writes(group);
        const std::set<simulation::WriteNumber> distinct(writes.begin(), writes.end());
        _result.doubledWrites += writes.size() - distinct.size();
        for (const Acknowledged& entry : _acknowledged[group]) {
            _result.lostWrites += distinct.contains(entry.write) ? 0 : 1;
        }
        finals.push_back(distinct);
    }
    for (const FaultEvent& fault : scenario.faults) {
        if (fault.failsPrimary()) {
            _result.gaps.push_back(gapOf(fault, finals[fault.group]));
        }
    }
}

FailoverGap Measurement::gapOf(const FaultEvent& fault,
                               const std::set<simulation::WriteNumber>& final) {
    const TimePoint failedAt = _start + fault.at;
    Duration longest{0};
    TimePoint previous = _start;
    for (const Acknowledged& entry : _acknowledged[fault.group]) {
        if (!final.contains(entry.write)) {
            continue;
        }
        if (entry.at > failedAt && previous < failedAt + kGapWindow) {
            longest = std::max(longest, entry.at - std::max(previous, failedAt));
        }
        previous = entry.at;
    }
    const TimePoint loadEnd = _start + _deployment.scenario().duration;
    if (previous < std::min(failedAt + kGapWindow, loadEnd)) {
        // No write has landed since; the true gap may be longer than what the load shows.
        longest = std::max(longest, loadEnd - std::max(previous, failedAt));
    }
    FailoverGap gap;
    gap.fault = faultName(fault.kind);
    gap.group = fault.group;
    gap.at = toSeconds(fault.at);
    gap.milliseconds = toMilliseconds(longest);
    const std::vector<TimePoint>& elections = _deployment.group(fault.group).elections();
    const auto election = std::ranges::lower_bound(elections, failedAt);
    if (election != elections.end()) {
        gap.electionMilliseconds = toMilliseconds(*election - failedAt);
    }
    return gap;
}

std::vector<TimelinePoint> Measurement::timeline() const {
    std::vector<TimelinePoint> points;
    for (const Second& second : _seconds) {
        TimelinePoint point;
        point.second = static_cast<double>(points.size());
        for (const LatencyRecorder& latencies : second.latencies) {
            point.p99.push_back(latencies.count() == 0
                                    ? std::nullopt
                                    : std::optional(latencies.quantile(kHighQuantile)));
        }
        if (second.reads > 0) {
            point.replicaShare =
                static_cast<double>(second.replicaReads) / static_cast<double>(second.reads);
        }
        if (second.samples > 0) {
            const auto samples = static_cast<double>(second.samples);
            point.urgentQueued = second.sums.urgentQueued / samples;
            point.ordinaryQueued = second.sums.ordinaryQueued / samples;
            point.connections = second.sums.connections / samples;
        }
        points.push_back(std::move(point));
    }
    return points;
}

RunResult Measurement::finish(std::uint64_t seed, std::uint64_t unanswered) {
    judgeWrites();
    _result.seed = seed;
    _result.unanswered = unanswered;
    for (std::size_t index = 0; index < _latencies.size(); ++index) {
        ClassResult& result = _result.classes[index];
        result.p50 = _latencies[index].quantile(kMedian);
        result.p99 = _latencies[index].quantile(kHighQuantile);
        result.p999 = _latencies[index].quantile(kHighestQuantile);
        result.maximum = _latencies[index].maximum();
    }
    _result.replicaShare =
        _reads == 0 ? 0 : static_cast<double>(_replicaReads) / static_cast<double>(_reads);
    _result.timeline = timeline();
    return _result;
}

}  // namespace coralhoist::experiment
