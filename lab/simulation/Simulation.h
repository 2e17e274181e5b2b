/** Simulated processes on simulated hosts, joined by a simulated network. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"
#include "lab/simulation/LinkModel.h"

namespace coralhoist::simulation {

/** Number of a host in a Simulation; starts at 0. */
using HostId = std::uint32_t;

/** A process as the simulation drives it: the real decision classes plus their codecs. */
class SimulatedProcess {
public:
    virtual ~SimulatedProcess() = default;

    /** Called when nextTick() is reached. */
    virtual void onTick(TimePoint now) = 0;

    /** @return when onTick is due; asked after each call of the process. */
    virtual TimePoint nextTick() const = 0;

    /** Bytes from another host have arrived. */
    virtual void onBytes(HostId from, const std::string& bytes, TimePoint now) = 0;
};

/** What a host has sent and received. */
struct TrafficCounters {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/**
 * A deterministic run of many processes: the same seed gives the same run. Hosts can be paused (all
 * that arrives waits until they go on), stopped and started again with a new process.
 */
class Simulation {
public:
    /** Bytes that the network adds to each datagram: IP and UDP headers. */
    static constexpr std::uint64_t kDatagramOverhead = 28;

    Simulation(std::uint64_t seed, const LinkDelays& delays) : _random(seed), _links(delays) {}

    EventQueue& queue() { return _queue; }
    LinkModel& links() { return _links; }
    RandomSource& random() { return _random; }
    TimePoint now() const { return _queue.now(); }

    /** @return the number of a new host on which nothing runs yet. */
    HostId addHost(RegionName region, ZoneName zone);

    /** Starts a process on a host. The process outlives its run. */
    void start(HostId host, SimulatedProcess& process);

    /** Ends the process of a host at once; what is on its way to it gets lost. */
    void stop(HostId host);

    /** Halts a process as SIGSTOP does. */
    void pause(HostId host);

    /** Lets a paused process go on: all that waited arrives, then its ticks. */
    void resume(HostId host);

    /** Sends a datagram from one host to another. */
    void sendDatagram(HostId from, HostId to, std::string bytes);

    /** Sends bytes over a reliable stream; they are lost only when the link is cut. */
    void sendStream(HostId from, HostId to, std::string bytes);

    /** Asks the process for its next tick; for calls made outside the simulation's events. */
    void rearm(HostId host);

    bool isRunning(HostId host) const { return _hosts[host].process != nullptr; }
    bool isPaused(HostId host) const { return _hosts[host].paused; }
    const Place& place(HostId host) const { return _hosts[host].place; }
    const TrafficCounters& traffic(HostId host) const { return _hosts[host].traffic; }

    /** Counts from zero again on all hosts. */
    void resetTraffic();

private:
    struct Arrival {
        HostId from = 0;
        std::string bytes;
    };
    struct Host {
        Place place;
        SimulatedProcess* process = nullptr;
        bool paused = false;
        std::vector<Arrival> waiting;
        /** A tick event with another number is out of date. */
        std::uint64_t armedTick = 0;
        TimePoint armedTime;
        TrafficCounters traffic;
    };

    void send(HostId from, HostId to, std::string bytes, std::optional<Duration> transit);
    void deliver(HostId from, HostId to, const std::string& bytes);
    void tick(HostId host, std::uint64_t number);

    SeededRandom _random;
    EventQueue _queue;
    LinkModel _links;
    std::vector<Host> _hosts;
};

}  // namespace coralhoist::simulation
