#include "lab/pooled/LogConnector.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace coralhoist::pooled {

using pooling::ServerCommand;
using pooling::SessionState;
using pooling::StatementFault;
using pooling::StatementResult;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/** How long a slot is held by an order or a status question, and by a new connection. */
constexpr Duration kOrderWork = milliseconds(1);
constexpr Duration kOpeningWork = milliseconds(2);
/** Work takes 50 % of the model's, and a random part of so many percent. */
constexpr std::uint64_t kWorkSpread = 150;
/** Answers to orders that take longer count as slow. */
constexpr Duration kSlowOrder = milliseconds(100);

bool isOrder(const ServerCommand& command) {
    switch (command.kind) {
        case ServerCommand::Kind::Status:
        case ServerCommand::Kind::Pause:
        case ServerCommand::Kind::Resume:
        case ServerCommand::Kind::StepDown:
            return true;
        default:
            return false;
    }
}

/** @return whether it is a read, a write or a commit. */
bool isWork(const ServerCommand& command) {
    return command.kind == ServerCommand::Kind::Caller && command.text.rfind("BEGIN", 0) != 0;
}

}  // namespace

void NodeActivity::run(std::function<void()> action) {
    if (_ended) {
        return;
    }
    if (_frozen) {
        _waiting.push_back(std::move(action));
        return;
    }
    action();
}

void NodeActivity::thaw() {
    _frozen = false;
    std::deque<std::function<void()>> waiting;
    waiting.swap(_waiting);
    for (std::function<void()>& action : waiting) {
        run(std::move(action));
    }
}

std::string writeReport(const LogServer& server) {
    return std::string(server.primary ? "primary " : "replica ") + std::to_string(server.term) +
           ' ' + std::to_string(server.received().term) + ' ' +
           std::to_string(server.received().position) + ' ' + std::to_string(server.heldTerm);
}

std::optional<failover::ServerReport> readReport(const std::string& row) {
    std::istringstream text(row);
    std::string role;
    failover::ServerReport report;
    text >> role >> report.term >> report.received.term >> report.received.position >>
        report.heldTerm;
    report.primary = role == "primary";
    return text.fail() ? std::nullopt : std::optional<failover::ServerReport>(report);
}

LogConnector::LogConnector(simulation::EventQueue& queue, RandomSource& random, PooledJudge& judge,
                           RequestBook& book, std::map<GroupName, LogGroup*> groups,
                           std::shared_ptr<NodeActivity> activity)
    : _queue(queue),
      _random(random),
      _judge(judge),
      _book(book),
      _groups(std::move(groups)),
      _activity(std::move(activity)) {}

Duration LogConnector::delay() {
    return microseconds(300 + static_cast<std::int64_t>(_random.below(1200)));
}

bool LogConnector::isCut(const Connection& connection) const {
    return std::any_of(
        _faults.cut.begin(), _faults.cut.end(),
        [&connection](const ServerName& name) { return connection.server->isKnownAs(name); });
}

bool LogConnector::isGone(const Connection& connection) const {
    return !connection.server->running || connection.server->life != connection.life;
}

ConnectionId LogConnector::open(const pooling::ServerAddress& address, const TenantName& tenant,
                                pooling::ServerEvents& events) {
    auto connection = std::make_shared<Connection>();
    connection->id = ConnectionId(++_last);
    connection->group = _groups.at(address.group);
    connection->server = &connection->group->server(address.server);
    connection->expected = address.server;
    connection->life = connection->server->life;
    connection->events = &events;
    connection->tenant = tenant;
    _connections[connection->id] = connection;
    _queue.after(delay() * 2, [this, connection, activity = _activity] {
        const bool free = connection->group->model().slots == 0;
        if (free || isCut(*connection) || isGone(*connection)) {
            activity->run([this, connection] { finishOpening(connection); });
            return;
        }
        LogServer& server = *connection->server;
        connection->group->startWork(server, [this, connection, activity, life = server.life] {
            _queue.after(kOpeningWork, [this, connection, activity, life] {
                connection->group->endWork(*connection->server, life);
                activity->run([this, connection] { finishOpening(connection); });
            });
        });
    });
    return connection->id;
}

void LogConnector::finishOpening(const ConnectionPointer& connection) {
    if (connection->closed || isCut(*connection)) {
        connection->dead = true;
        return;
    }
    if (isGone(*connection)) {
        failOpening(connection, std::nullopt);
        return;
    }
    if (connection->server->name != connection->expected) {
        ++_wrongServers;
        failOpening(connection,
                    pooling::StatementError{StatementFault::WrongServer, "another server"});
        return;
    }
    connection->opened = true;
    connection->events->onOpened(connection->id, connection->server->appliedPosition());
}

void LogConnector::failOpening(const ConnectionPointer& connection,
                               const std::optional<pooling::StatementError>& refusal) {
    connection->closed = true;
    _connections.erase(connection->id);
    connection->events->onOpenFailed(connection->id, refusal);
}

void LogConnector::send(ConnectionId id, const std::vector<ServerCommand>& commands) {
    const auto found = _connections.find(id);
    if (found == _connections.end()) {
        return;
    }
    const ConnectionPointer connection = found->second;
    _queue.after(delay(), [this, connection, commands, activity = _activity] {
        if (activity->hasEnded()) {
            return;
        }
        arrive(connection, commands);
    });
}

void LogConnector::close(ConnectionId id) {
    const auto found = _connections.find(id);
    if (found != _connections.end()) {
        found->second->closed = true;
        _connections.erase(found);
    }
}

void LogConnector::step() {
    std::vector<ConnectionPointer> lost;
    for (const auto& [id, connection] : _connections) {
        if (connection->opened && isGone(*connection) && !isCut(*connection) &&
            connection->server->running) {
            lost.push_back(connection);
        }
    }
    for (const ConnectionPointer& connection : lost) {
        _activity->run([this, connection] {
            if (!connection->closed) {
                connection->closed = true;
                _connections.erase(connection->id);
                connection->events->onLost(connection->id);
            }
        });
    }
}

void LogConnector::arrive(const ConnectionPointer& connection,
                          const std::vector<ServerCommand>& commands) {
    if (isCut(*connection) || isGone(*connection) || connection->dead) {
        connection->dead = true;
        return;
    }
    connection->commands.insert(connection->commands.end(), commands.begin(), commands.end());
    runNext(connection);
}

void LogConnector::runNext(const ConnectionPointer& connection) {
    if (connection->running || connection->commands.empty() || isGone(*connection)) {
        return;
    }
    const ServerCommand command = connection->commands.front();
    connection->commands.pop_front();
    connection->running = true;
    connection->takenUpAt = _queue.now();
    if (!isWork(command) && connection->group->model().slots == 0) {
        // Without slots each command draws its work, so that runs stay those of their seeds.
        _random.below(kWorkSpread);
    }
    if (isWork(command)) {
        workOnStatement(connection, command);
    } else if (isOrder(command)) {
        workOnOrder(connection, command);
    } else {
        // No slot is needed.
        _queue.after(connection->server->orderDelay, [this, connection, command] {
            if (!isGone(*connection)) {
                execute(connection, command);
            }
        });
    }
}

/** The server goes on although the node has ended; its answers reach nobody. */
void LogConnector::workOnStatement(const ConnectionPointer& connection,
                                   const ServerCommand& command) {
    LogServer& server = *connection->server;
    const auto share = static_cast<std::int64_t>(50 + _random.below(kWorkSpread));
    const Duration work = connection->group->model().work * share * server.slowness / 100;
    connection->group->startWork(
        server, [this, connection, command, work, activity = _activity, life = server.life] {
            _queue.after(work, [this, connection, command, activity, life] {
                if (!isGone(*connection)) {
                    execute(connection, command);
                }
                connection->group->endWork(*connection->server, life);
            });
        });
}

void LogConnector::workOnOrder(const ConnectionPointer& connection, const ServerCommand& command) {
    _queue.after(connection->server->orderDelay, [this, connection, command, activity = _activity] {
        if (isGone(*connection)) {
            return;
        }
        LogServer& server = *connection->server;
        const Duration work = connection->group->model().slots > 0 ? kOrderWork : Duration(0);
        const auto finish = [this, connection, command, activity, life = server.life] {
            if (!isGone(*connection)) {
                execute(connection, command);
            }
            connection->group->endWork(*connection->server, life);
        };
        connection->group->startWork(server, [this, work, finish] {
            if (work == Duration(0)) {
                finish();
            } else {
                _queue.after(work, finish);
            }
        });
    });
}

/** Only crowded servers draw, so that the runs of the others stay as they are. */
bool LogConnector::isRefusedForSlots(const LogServer& server, const ServerCommand& command) {
    return isOrder(command) && server.ordersRefused > 0 &&
           _random.fraction() < server.ordersRefused;
}

void LogConnector::execute(const ConnectionPointer& connection, const ServerCommand& command) {
    LogServer& server = *connection->server;
    if (isOrder(command) && _queue.now() - connection->takenUpAt >= kSlowOrder) {
        ++_slowOrders;
    }
    if (isRefusedForSlots(server, command)) {
        ++_refusedOrders;
        refuse(connection, StatementFault::Busy);
        return;
    }
    if (_onOrder && isOrder(command) && command.kind != ServerCommand::Kind::Status) {
        _onOrder(command);
    }
    switch (command.kind) {
        case ServerCommand::Kind::Caller:
            executeCaller(connection, command);
            return;
        case ServerCommand::Kind::Rollback:
            connection->inTransaction = false;
            connection->failed = false;
            answer(connection, StatementResult{});
            return;
        case ServerCommand::Kind::Status:
            report(connection);
            return;
        case ServerCommand::Kind::Pause:
            if (!server.primary && command.term > server.term) {
                server.heldTerm = std::max(server.heldTerm, command.term);
            }
            report(connection);
            return;
        case ServerCommand::Kind::Resume:
            server.heldTerm = 0;
            report(connection);
            return;
        case ServerCommand::Kind::StepDown:
            if (server.primary && server.term < command.term) {
                server.primary = false;
            }
            report(connection);
            return;
        case ServerCommand::Kind::Execute:
        case ServerCommand::Kind::Set:
        case ServerCommand::Kind::Prepare:
        case ServerCommand::Kind::Reset:
            answer(connection, StatementResult{});
            return;
    }
}

void LogConnector::report(const ConnectionPointer& connection) {
    StatementResult result;
    result.rows.push_back(writeReport(*connection->server));
    answer(connection, std::move(result));
}

StatementResult LogConnector::signedResult(const Connection& connection) const {
    StatementResult result;
    result.signature = connection.server->name.value();
    return result;
}

void LogConnector::refuse(const ConnectionPointer& connection, StatementFault fault) {
    StatementResult result;
    result.error = pooling::StatementError{fault, "refused"};
    answer(connection, std::move(result));
}

void LogConnector::answer(const ConnectionPointer& connection, StatementResult result) {
    const Connection& state = *connection;
    result.position = state.server->appliedPosition();
    result.state = state.failed          ? SessionState::Failed
                   : state.inTransaction ? SessionState::InTransaction
                                         : SessionState::Idle;
    connection->running = false;
    const bool lost = !result.signature.empty() && _random.fraction() < _faults.answersLost;
    if (lost) {
        connection->dead = true;
    }
    _queue.after(delay(), [this, connection, result, activity = _activity] {
        activity->run([this, connection, result] {
            if (connection->closed || connection->dead) {
                return;
            }
            if (isCut(*connection) || isGone(*connection)) {
                connection->dead = true;
                return;
            }
            connection->events->onResult(connection->id, result);
        });
    });
    runNext(connection);
}

}  // namespace coralhoist::pooled
