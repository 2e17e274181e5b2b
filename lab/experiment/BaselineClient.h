/** A plain pooling client of one database group: what the real proxies are compared with. */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "contract/BackendConnector.h"
#include "contract/Execution.h"
#include "lab/contract/SimulatedConnector.h"
#include "lab/experiment/Deployment.h"
#include "lab/experiment/ProxySystem.h"

namespace coralhoist::experiment {

/** How a baseline works. */
struct BaselinePolicy {
    /** Reads go to the replicas in turn, whatever the session wrote; else to the primary. */
    bool splitsReads = false;
    /** Requests wait for a primary; else they fail at once while none is known. */
    bool waitsForPrimary = false;
    /** Connections to each server. */
    std::size_t connectionsPerServer = 4;
    /** Time between two looks at each server. */
    Duration checkInterval = std::chrono::milliseconds(500);
};

/**
 * Pools connections, runs requests in order of arrival whatever their priority, and follows the
 * server that says it is primary in the newest term. It knows no floors, no acknowledgement by a
 * majority and no request keys, and repeats nothing by itself.
 */
class BaselineClient final : public contract::BackendEvents {
public:
    /** @param deployment outlives the client. @param zone where it stands. */
    BaselineClient(Deployment& deployment, std::size_t group, std::size_t zone,
                   const BaselinePolicy& policy);

    /** @param sink outlives the request. */
    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink);
    void die();
    std::size_t waiting() const;

    void onOpened(ConnectionId connection) override;
    void onOpenFailed(ConnectionId connection, const std::string& sqlState,
                      const std::string& message) override;
    void onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                        std::string bytes) override;
    void onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                        contract::CommandOutcome outcome) override;
    void onProgramEnded(ConnectionId connection, contract::ConnectionState state) override;
    void onLost(ConnectionId connection, bool sent, const std::string& message) override;

private:
    /** A request between submit and its end. */
    struct Pending {
        contract::ExecutionRequest request;
        contract::ResponseSink* sink = nullptr;
    };
    struct Connection {
        std::size_t server = 0;
        bool monitor = false;
        bool open = false;
        /** The request that runs on it. */
        std::optional<Pending> running;
        /** What the database said against it. */
        std::string sqlState;
    };
    struct Server {
        std::optional<ConnectionId> monitor;
        bool asked = false;
        std::optional<machine::ServerStatus> status;
        std::size_t connections = 0;
        std::vector<ConnectionId> idle;
        std::deque<Pending> waiting;
    };

    void check();
    void checkServer(Server& server, std::size_t index);
    void markDown(Server& server);
    void followPrimary();
    void place(Pending pending);
    std::optional<std::size_t> chooseServer(const contract::ExecutionRequest& request);
    std::optional<std::size_t> primary() const;
    void pump(std::size_t index);
    void run(ConnectionId id, Pending pending);
    void forget(ConnectionId id);
    void finish(const Pending& pending, contract::ExecutionResult result);
    void fail(const Pending& pending, const std::string& sqlState, contract::RunState runState);
    void expire(std::deque<Pending>& queue);

    Deployment& _deployment;
    BaselinePolicy _policy;
    simulation::SimulatedConnector _connector;
    std::vector<Server> _servers;
    std::map<ConnectionId, Connection> _connections;
    std::deque<Pending> _withoutServer;
    std::optional<std::size_t> _primary;
    std::size_t _turn = 0;
    bool _alive = true;
};

}  // namespace coralhoist::experiment
