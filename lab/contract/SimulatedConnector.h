/** One proxy's connections to the servers of a simulated group. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "contract/BackendConnector.h"
#include "lab/contract/SimulatedGroup.h"

namespace coralhoist::simulation {

/** Delays both directions, keeps the order of each connection, and loses what a fault asks for. */
class SimulatedConnector final : public contract::BackendConnector {
public:
    SimulatedConnector(SimulatedGroup& group, EventQueue& queue, RandomSource& random);

    /** @param events receives what happens; afterEvent is called after each of its calls. */
    void attach(contract::BackendEvents& events, std::function<void()> afterEvent);
    /** The proxy stands in this zone; without a call it stands in none. */
    void setZone(std::size_t zone) { _zone = zone; }

    ConnectionId open(const ServerName& server) override;
    void run(ConnectionId connection, contract::BackendProgram program) override;
    void cancel(ConnectionId connection) override;
    void setReading(ConnectionId /*connection*/, bool /*reading*/) override {}
    void close(ConnectionId connection) override;

    /** The process halts; what arrives waits. */
    void pause() { _paused = true; }
    void resume();
    /** The process is gone: the servers see its connections close. */
    void die();
    /** Breaks some of the connections, with answers and statements on their way. */
    void breakConnections(std::uint32_t percent);
    /** Nothing passes between this proxy and a server. */
    void cut(std::size_t server) { _cut.insert(server); }
    void heal() { _cut.clear(); }

private:
    struct Link final : SessionPeer {
        SimulatedConnector* owner = nullptr;
        ConnectionId id;
        std::size_t server = 0;
        ServerSessionId session = 0;
        bool opened = false;
        bool gone = false;
        bool running = false;
        /** The program has not reached the server yet. */
        bool inFlight = false;
        bool dropsProgram = false;
        TimePoint lastUp{};
        TimePoint lastDown{};

        void onBytes(std::size_t commandIndex, std::string bytes) override;
        void onCommandEnded(std::size_t commandIndex, contract::CommandOutcome outcome) override;
        void onProgramEnded(contract::ConnectionState state) override;
        void onClosed() override;
    };

    Duration delay(const Link& link);
    void up(Link& link, std::function<void()> action);
    void down(Link& link, std::function<void()> action);
    void deliver(const std::function<void()>& action);
    void lose(Link& link, bool sent);
    void accept(Link& link);

    SimulatedGroup& _group;
    EventQueue& _queue;
    RandomSource& _random;
    contract::BackendEvents* _events = nullptr;
    std::function<void()> _afterEvent;
    std::optional<std::size_t> _zone;
    std::uint64_t _lastId = 0;
    std::map<ConnectionId, std::unique_ptr<Link>> _links;
    std::set<std::size_t> _cut;
    bool _paused = false;
    bool _dead = false;
    std::vector<std::function<void()>> _inbox;
};

}  // namespace coralhoist::simulation
