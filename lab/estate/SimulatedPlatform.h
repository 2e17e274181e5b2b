/** Stand-in for the platform in simulated time: settings objects, lists and watches. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lab/estate/SimulatedReplica.h"
#include "lab/simulation/Simulation.h"
#include "zone/SettingsDistributor.h"

namespace coralhoist::estate {

/**
 * Holds the objects with one growing version and delivers lists, changes and progress in order to
 * each watching node, after a delay. Can be unreachable for all or for some hosts, and can forget
 * its tombstones.
 */
class SimulatedPlatform {
public:
    SimulatedPlatform(simulation::Simulation& simulation, RecordPool& pool)
        : _simulation(simulation), _pool(pool) {}

    /** Puts a change in force. @return its version. */
    std::uint64_t commit(const std::string& path, const std::string& document, bool deleted);

    /** Keeps an unreachable or slow store away from all readers. */
    void setReachable(bool reachable) { _reachable = reachable; }
    /** Cuts one host off from the platform, or joins it again. */
    void setReachable(simulation::HostId host, bool reachable) { _cutOff[host] = !reachable; }
    /** Drops tombstones, as a platform does after some time. */
    void forgetTombstones();

    /** Called by each node about once a second: begins, keeps up or ends its watch. */
    void serve(simulation::HostId host, zone::SettingsDistributor& distributor);

    /** The node's process has ended. */
    void forget(simulation::HostId host) { _watches.erase(host); }

    const RecordIndex& objects() const { return _objects; }
    std::uint64_t version() const { return _version; }
    /** @return all paths that ever existed. */
    const std::vector<std::string>& paths() const { return _paths; }
    /** @return the path of the last change. */
    const std::string& lastPath() const { return _lastPath; }
    std::size_t watchCount() const { return _watches.size(); }
    std::uint64_t listsServed() const { return _listsServed; }

private:
    struct Delivery {
        TimePoint due;
        /** Shared by all lists of the same version. */
        std::shared_ptr<const std::vector<settings::SettingsObjectRecord>> records;
        std::uint64_t version = 0;
        enum class Kind { List, Change, Progress } kind = Kind::Change;
    };
    struct Watch {
        zone::SettingsDistributor* distributor = nullptr;
        std::deque<Delivery> deliveries;
    };

    bool reaches(simulation::HostId host) const;
    std::shared_ptr<const std::vector<settings::SettingsObjectRecord>> currentList();
    Delivery listFor(const zone::SettingsDistributor& distributor);
    void enqueue(simulation::HostId host, Delivery delivery);
    void pump(simulation::HostId host);
    void deliver(zone::SettingsDistributor& distributor, const Delivery& delivery) const;

    simulation::Simulation& _simulation;
    RecordPool& _pool;
    bool _reachable = true;
    std::map<simulation::HostId, bool> _cutOff;
    std::map<simulation::HostId, Watch> _watches;
    RecordIndex _objects;
    std::vector<std::string> _paths;
    std::map<std::string, bool> _forgotten;
    std::string _lastPath;
    std::uint64_t _version = 0;
    std::uint64_t _listsServed = 0;
    std::shared_ptr<const std::vector<settings::SettingsObjectRecord>> _list;
    std::uint64_t _listVersion = 0;
};

}  // namespace coralhoist::estate
