#include "lab/pooled/LogConnector.h"

#include <sstream>
#include <utility>

namespace coralhoist::pooled {

using pooling::ServerCommand;
using pooling::SessionState;
using pooling::StatementFault;
using pooling::StatementResult;
using std::chrono::microseconds;

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
    return _faults.cut.contains(connection.server->name);
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
    connection->life = connection->server->life;
    connection->events = &events;
    connection->tenant = tenant;
    _connections[connection->id] = connection;
    _queue.after(delay() * 2, [this, connection, activity = _activity] {
        activity->run([this, connection] {
            if (connection->closed || isCut(*connection)) {
                connection->dead = true;
                return;
            }
            if (isGone(*connection)) {
                connection->closed = true;
                _connections.erase(connection->id);
                connection->events->onOpenFailed(connection->id, std::nullopt);
                return;
            }
            connection->opened = true;
            connection->events->onOpened(connection->id, connection->server->appliedPosition());
        });
    });
    return connection->id;
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
    const bool works =
        command.kind == ServerCommand::Kind::Caller && command.text.rfind("BEGIN", 0) != 0;
    const auto share = static_cast<std::int64_t>(50 + _random.below(150));
    const Duration work =
        works ? connection->group->model().work * share / 100 : connection->server->orderDelay;
    _queue.after(work, [this, connection, command, activity = _activity] {
        // The server goes on although the node has ended; its answers reach nobody.
        if (!isGone(*connection)) {
            execute(connection, command);
        }
    });
}

void LogConnector::execute(const ConnectionPointer& connection, const ServerCommand& command) {
    LogServer& server = *connection->server;
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

void LogConnector::executeCaller(const ConnectionPointer& connection,
                                 const ServerCommand& command) {
    const LogServer& server = *connection->server;
    const RequestNote& note = _book.at(command.id);
    if (connection->inTransaction && note.session != connection->session) {
        _judge.fail("PINNED: a statement ran in the transaction of another session");
    }
    if (command.after && server.appliedPosition() < *command.after) {
        refuse(connection, StatementFault::Lagging);
        return;
    }
    const bool lostLead = connection->inTransaction && !connection->readOnly &&
                          (!server.primary || server.term != connection->term);
    if (lostLead && (command.text != "COMMIT" || connection->wrote)) {
        connection->failed = true;
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    if (command.text.rfind("BEGIN", 0) == 0) {
        begin(connection, command);
    } else if (command.text == "COMMIT") {
        commit(connection, command);
    } else if (command.text == "WRITE") {
        write(connection, command);
    } else {
        read(connection, command);
    }
}

void LogConnector::begin(const ConnectionPointer& connection, const ServerCommand& command) {
    connection->readOnly = command.text == "BEGIN READ";
    if (!connection->readOnly && !connection->server->primary) {
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    connection->inTransaction = true;
    connection->failed = false;
    connection->wrote = false;
    connection->term = connection->server->term;
    connection->session = _book.at(command.id).session;
    answer(connection, StatementResult{});
}

void LogConnector::read(const ConnectionPointer& connection, const ServerCommand& command) {
    const LogServer& server = *connection->server;
    const RequestNote& note = _book.at(command.id);
    _judge.onReadRan({note.session, note.promise, note.staleness, note.since},
                     [&server](const LogPlace& place) { return server.hasApplied(place); });
    answer(connection, signedResult(*connection));
}

void LogConnector::write(const ConnectionPointer& connection, const ServerCommand& command) {
    if (connection->inTransaction) {
        connection->wrote = true;
        answer(connection, signedResult(*connection));
        return;
    }
    if (!connection->server->primary) {
        refuse(connection, StatementFault::ReadOnly);
        return;
    }
    commitEntry(connection, _book.at(command.id).commit);
}

void LogConnector::commit(const ConnectionPointer& connection, const ServerCommand& command) {
    connection->inTransaction = false;
    if (!connection->wrote) {
        answer(connection, signedResult(*connection));
        return;
    }
    commitEntry(connection, _book.at(command.id).commit);
}

void LogConnector::commitEntry(const ConnectionPointer& connection, CommitId commit) {
    connection->group->commit(*connection->server, commit, [this, connection](bool kept) {
        if (isGone(*connection)) {
            return;
        }
        if (kept) {
            answer(connection, signedResult(*connection));
        } else {
            // The server has lost its lead before a replica had the commit; it says nothing.
            connection->dead = true;
        }
    });
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
