/** A database group in virtual time: replication, elections and the faults between its servers. */
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/SystemTime.h"
#include "lab/contract/SimulatedServer.h"

namespace coralhoist::simulation {

/** Sizes and delays of a group. */
struct GroupModel {
    std::size_t servers = 3;
    std::size_t connectionsPerServer = 35;
    Duration connectCost = std::chrono::milliseconds(10);
    Duration oneWayDelay = std::chrono::microseconds(1500);
    Duration heartbeat = std::chrono::milliseconds(20);
    Duration electionTimeout = std::chrono::milliseconds(200);
    /** Zone of each server; empty when every server stands in a zone of its own. */
    std::vector<std::size_t> serverZones;
    /** One-way delay within a zone; oneWayDelay holds between zones. */
    Duration sameZoneDelay = std::chrono::microseconds(250);
};

/**
 * Servers whose primary sends its log to the others. A commit returns before any replica has it. An
 * election needs a majority that can reach each other; its most advanced server wins, and the
 * voters refuse the log of older terms from then on.
 */
class SimulatedGroup {
public:
    SimulatedGroup(const GroupModel& model, EventQueue& queue, RandomSource& random);

    std::size_t size() const { return _servers.size(); }
    SimulatedServer& server(std::size_t index) { return *_servers[index]; }
    std::size_t indexOf(const ServerName& name) const;
    const GroupModel& model() const { return _model; }

    /** @return the server that leads the newest term. */
    std::size_t newestPrimary() const;
    std::size_t anyReplica();
    /** @return when primaries were elected, the first one left out. */
    const std::vector<TimePoint>& elections() const { return _elections; }
    /** @return a random one-way delay between a zone and a server; no zone is like another one. */
    Duration delayTo(std::size_t server, std::optional<std::size_t> zone);

    /** Cuts a server off from the others; proxies still reach it. */
    void isolate(std::size_t server) { _isolated.insert(server); }
    void rejoin(std::size_t server) { _isolated.erase(server); }
    /** Makes a replica receive and replay late. */
    void setLag(std::size_t server, Duration lag) { _lag[server] = lag; }
    /** The primary hands over in order: it stops, and the most advanced replica leads. */
    void switchOver();
    void healAll();

private:
    bool connects(std::size_t from, std::size_t to) const;
    void heartbeat();
    void replicate(std::size_t primary);
    void elect(std::size_t candidate);
    Duration delayBetween(std::size_t from, std::size_t to);

    GroupModel _model;
    EventQueue& _queue;
    RandomSource& _random;
    std::vector<std::unique_ptr<SimulatedServer>> _servers;
    std::set<std::size_t> _isolated;
    std::vector<Duration> _lag;
    std::vector<TimePoint> _elections;
};

}  // namespace coralhoist::simulation
