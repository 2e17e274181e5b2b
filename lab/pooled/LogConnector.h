/** Connections of one simulated node to the servers of groups. */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/SystemTime.h"
#include "failover/PromotionRecord.h"
#include "lab/pooled/LogGroup.h"
#include "lab/pooled/PooledJudge.h"
#include "lab/simulation/EventQueue.h"
#include "pooling/ServerLink.h"

namespace coralhoist::pooled {

/** What the workload knows of a request, for the judge. */
struct RequestNote {
    std::uint64_t session = 0;
    ReadPromise promise = ReadPromise::Current;
    Duration staleness{0};
    TimePoint since{};
    /** Commit that the statement or its transaction makes. */
    CommitId commit = 0;
};

/** Requests by their id. */
using RequestBook = std::unordered_map<std::string, RequestNote>;

/** Whether a node runs; events of a frozen node wait. */
class NodeActivity {
public:
    /** Runs the action now, or when the node goes on; never when it has ended. */
    void run(std::function<void()> action);
    void freeze() { _frozen = true; }
    void thaw();
    void end() { _ended = true; }
    bool isFrozen() const { return _frozen; }
    bool hasEnded() const { return _ended; }

private:
    bool _frozen = false;
    bool _ended = false;
    std::deque<std::function<void()>> _waiting;
};

/** Faults of the paths between a node and the servers. */
struct PathFaults {
    /** Servers that the node does not reach; bytes on the way are lost. */
    std::set<ServerName> cut;
    /** Share of statements that run and whose answer is lost with the connection. */
    double answersLost = 0;
};

/** Implements ServerConnector over simulated groups. */
class LogConnector final : public pooling::ServerConnector {
public:
    /** References outlive the connector. */
    LogConnector(simulation::EventQueue& queue, RandomSource& random, PooledJudge& judge,
                 RequestBook& book, std::map<GroupName, LogGroup*> groups,
                 std::shared_ptr<NodeActivity> activity);

    ConnectionId open(const pooling::ServerAddress& address, const TenantName& tenant,
                      pooling::ServerEvents& events) override;
    void send(ConnectionId connection,
              const std::vector<pooling::ServerCommand>& commands) override;
    void close(ConnectionId connection) override;

    PathFaults& faults() { return _faults; }

    /** From now on tells of each order to pause, resume or step down that a server carries out. */
    void setOnOrder(std::function<void(const pooling::ServerCommand&)> onOrder) {
        _onOrder = std::move(onOrder);
    }

    /** Breaks connections whose server has ended. */
    void step();

    /** @return orders and status questions whose answer took 100 ms or longer. */
    std::uint64_t slowOrders() const { return _slowOrders; }
    /** @return orders and status questions that were refused for want of a slot. */
    std::uint64_t refusedOrders() const { return _refusedOrders; }
    /** @return connections that were refused because the server has another name now. */
    std::uint64_t wrongServers() const { return _wrongServers; }

private:
    /** State of a connection at its server; lives on when the node has closed it. */
    struct Connection {
        ConnectionId id;
        LogGroup* group = nullptr;
        LogServer* server = nullptr;
        /** The server that the caller expects there. */
        ServerName expected;
        std::uint64_t life = 0;
        TenantName tenant;
        pooling::ServerEvents* events = nullptr;
        bool closed = false;
        /** Bytes were lost: nothing more comes. */
        bool dead = false;
        bool opened = false;
        std::deque<pooling::ServerCommand> commands;
        bool running = false;
        /** When the server took up the command that it works on or waits with. */
        TimePoint takenUpAt{};
        bool inTransaction = false;
        bool failed = false;
        bool readOnly = false;
        Term term = 0;
        bool wrote = false;
        std::uint64_t session = 0;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    Duration delay();
    bool isCut(const Connection& connection) const;
    bool isGone(const Connection& connection) const;
    void finishOpening(const ConnectionPointer& connection);
    void failOpening(const ConnectionPointer& connection,
                     const std::optional<pooling::StatementError>& refusal);
    void arrive(const ConnectionPointer& connection,
                const std::vector<pooling::ServerCommand>& commands);
    void runNext(const ConnectionPointer& connection);
    void workOnStatement(const ConnectionPointer& connection,
                         const pooling::ServerCommand& command);
    void workOnOrder(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    bool isRefusedForSlots(const LogServer& server, const pooling::ServerCommand& command);
    void execute(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void executeCaller(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void begin(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void read(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void write(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void commit(const ConnectionPointer& connection, const pooling::ServerCommand& command);
    void commitEntry(const ConnectionPointer& connection, CommitId commit);
    void report(const ConnectionPointer& connection);
    void answer(const ConnectionPointer& connection, pooling::StatementResult result);
    void refuse(const ConnectionPointer& connection, pooling::StatementFault fault);
    pooling::StatementResult signedResult(const Connection& connection) const;

    simulation::EventQueue& _queue;
    RandomSource& _random;
    PooledJudge& _judge;
    RequestBook& _book;
    std::map<GroupName, LogGroup*> _groups;
    std::shared_ptr<NodeActivity> _activity;
    PathFaults _faults;
    std::function<void(const pooling::ServerCommand&)> _onOrder;
    std::unordered_map<ConnectionId, ConnectionPointer> _connections;
    std::uint64_t _last = 0;
    std::uint64_t _slowOrders = 0;
    std::uint64_t _refusedOrders = 0;
    std::uint64_t _wrongServers = 0;
};

/** Writes a report as LogConnector's servers do. */
std::string writeReport(const LogServer& server);

/** Reads what writeReport has written. */
std::optional<failover::ServerReport> readReport(const std::string& row);

}  // namespace coralhoist::pooled
