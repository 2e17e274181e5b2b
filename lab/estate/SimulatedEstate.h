/** All simulated nodes of a run and the places where they stand. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/estate/SimulatedNode.h"

namespace coralhoist::estate {

/** Shape of a simulated estate. */
struct EstateOptions {
    std::uint64_t seed = 1;
    std::size_t nodes = 9;
    /** Zones in each region; the number of entries is the number of regions. */
    std::vector<std::size_t> zonesPerRegion = {3};
    simulation::LinkDelays delays;
    zone::MembershipOptions membership;
    zone::DistributionOptions distribution;
    /** Nodes that every node knows from its settings file. */
    std::size_t seeds = 3;
};

/** A simulated estate of simulated nodes, spread evenly over the zones. */
class SimulatedEstate final : public SimulatedNetwork {
public:
    explicit SimulatedEstate(const EstateOptions& options);

    simulation::Simulation& simulation() { return _simulation; }
    SimulatedPlatform& platform() { return _platform; }

    /** Gives all nodes that start from now on the settings that the platform holds now. */
    void shareBase() { _base = std::make_shared<const RecordIndex>(_platform.objects()); }
    /** Nodes that start from now on know no settings. */
    void dropBase() { _base = nullptr; }

    /** @return whether every running node has exactly the platform's objects. */
    bool settingsAgree();
    /** @return the running nodes that have a version or a newer one of a path. */
    std::size_t countInForce(const zone::ObjectVersion& object);
    std::size_t runningCount() const;
    std::size_t size() const { return _nodes.size(); }
    TimePoint now() const { return _simulation.now(); }

    /** Starts all nodes at random moments within a span of time. */
    void startAll(Duration within);

    /**
     * Starts all nodes at once as if they had run for long: each knows its region, some contacts in
     * the others, and the settings that the platform holds now.
     */
    void warmStart();

    /** Starts a node with empty memory and the next higher incarnation. */
    void start(simulation::HostId host);

    /** Kills a node. */
    void stop(simulation::HostId host);

    SimulatedNode& node(simulation::HostId host) { return *_nodes[host]; }
    bool isRunning(simulation::HostId host) const { return _simulation.isRunning(host); }
    const simulation::Place& place(simulation::HostId host) const {
        return _simulation.place(host);
    }
    NodeName nameOf(simulation::HostId host) const;

    /** @return all hosts of a region or zone. */
    std::vector<simulation::HostId> hostsOf(const RegionName& region) const;
    std::vector<simulation::HostId> hostsOf(const ZoneName& zone) const;

    /** @return whether all running nodes hold exactly the running nodes of their region as live. */
    bool viewsAgree() const;

    /** @return the deaths that all running nodes together have seen. */
    std::uint64_t deathsSeen() const;

    /** Runs until the predicate holds or the limit is over. @return the time that took. */
    template <typename Predicate>
    std::optional<Duration> runUntil(Predicate predicate, Duration limit,
                                     Duration step = std::chrono::milliseconds(50)) {
        const TimePoint begin = now();
        while (now() - begin <= limit) {
            if (predicate()) {
                return now() - begin;
            }
            _simulation.queue().runFor(step);
        }
        return std::nullopt;
    }

private:
    void send(simulation::HostId from, const zone::PeerAddress& to, std::string bytes) override;
    zone::PeerAddress addressOf(simulation::HostId host) const override;
    zone::Member memberOf(simulation::HostId host) const;
    void create(simulation::HostId host);
    void introduce(const std::vector<simulation::HostId>& members);
    void introduceContacts(const std::vector<std::vector<simulation::HostId>>& regions);
    void tell(simulation::HostId host, simulation::HostId teller, zone::MembershipKind kind,
              const std::vector<zone::Member>& members);

    EstateOptions _options;
    simulation::Simulation _simulation;
    RecordPool _pool;
    SimulatedPlatform _platform;
    SimulatedEnvironment _environment;
    std::shared_ptr<const RecordIndex> _base;
    std::vector<std::unique_ptr<SimulatedNode>> _nodes;
    std::vector<std::uint64_t> _incarnations;
    std::unordered_map<std::string, simulation::HostId> _hostByAddress;
    std::vector<std::string> _addresses;
};

}  // namespace coralhoist::estate
