#include "lab/experiment/BaselineClient.h"

#include <algorithm>
#include <utility>

#include "contract/StatusQuery.h"

namespace coralhoist::experiment {

using contract::ExecutionRequest;
using contract::ExecutionResult;
using contract::RunState;
using contract::StatementKind;

namespace {

const std::string kConnectionFailure = "08006";
const std::string kCannotConnect = "57P03";
const std::string kQueryCanceled = "57014";

}  // namespace

BaselineClient::BaselineClient(Deployment& deployment, std::size_t group, std::size_t zone,
                               const BaselinePolicy& policy)
    : _deployment(deployment),
      _policy(policy),
      _connector(deployment.group(group), deployment.queue(), deployment.random()),
      _servers(deployment.group(group).size()) {
    _connector.setZone(zone);
    _connector.attach(*this, [] {});
    check();
}

std::size_t BaselineClient::waiting() const {
    std::size_t total = _withoutServer.size();
    for (const Server& server : _servers) {
        total += server.waiting.size();
    }
    return total;
}

void BaselineClient::die() {
    _alive = false;
    _connector.die();
}

void BaselineClient::check() {
    if (!_alive) {
        return;
    }
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        checkServer(_servers[index], index);
        expire(_servers[index].waiting);
    }
    expire(_withoutServer);
    _deployment.queue().after(_policy.checkInterval, [this] { check(); });
}

void BaselineClient::checkServer(Server& server, std::size_t index) {
    if (!server.monitor) {
        const ServerName name(std::string(1, static_cast<char>('a' + index)));
        server.monitor = _connector.open(name);
        _connections[*server.monitor] = Connection{index, true, false, std::nullopt, {}};
        return;
    }
    if (!_connections.at(*server.monitor).open) {
        if (std::exchange(server.asked, true)) {
            // The server went away before it answered the connect.
            _connector.close(*server.monitor);
            forget(*server.monitor);
        }
        return;
    }
    if (std::exchange(server.asked, true)) {
        // The last question has no answer yet.
        markDown(server);
        return;
    }
    contract::BackendProgram program;
    program.commands.push_back(contract::makeStatusCommand(kStatusQuery));
    _connector.run(*server.monitor, std::move(program));
}

void BaselineClient::markDown(Server& server) {
    server.status.reset();
    followPrimary();
}

std::optional<std::size_t> BaselineClient::primary() const {
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        const auto& status = _servers[index].status;
        if (status && !status->inRecovery &&
            (!best || status->term > _servers[*best].status->term)) {
            best = index;
        }
    }
    return best;
}

/** Requests that wait for another server than the primary of now move there. */
void BaselineClient::followPrimary() {
    const std::optional<std::size_t> now = primary();
    if (now == std::exchange(_primary, now)) {
        return;
    }
    std::deque<Pending> moving = std::exchange(_withoutServer, {});
    for (Server& server : _servers) {
        std::ranges::move(std::exchange(server.waiting, {}), std::back_inserter(moving));
    }
    for (Pending& pending : moving) {
        place(std::move(pending));
    }
}

std::optional<std::size_t> BaselineClient::chooseServer(const ExecutionRequest& request) {
    const bool reads = request.batch.steps.front().kind == StatementKind::Read;
    if (reads && _policy.splitsReads) {
        for (std::size_t step = 0; step < _servers.size(); ++step) {
            const std::size_t index = ++_turn % _servers.size();
            if (_servers[index].status && _servers[index].status->inRecovery) {
                return index;
            }
        }
    }
    return _primary;
}

void BaselineClient::submit(ExecutionRequest request, contract::ResponseSink& sink) {
    place(Pending{std::move(request), &sink});
}

void BaselineClient::place(Pending pending) {
    if (const auto server = chooseServer(pending.request)) {
        _servers[*server].waiting.push_back(std::move(pending));
        pump(*server);
    } else if (_policy.waitsForPrimary) {
        _withoutServer.push_back(std::move(pending));
    } else {
        fail(pending, kCannotConnect, RunState::NotRun);
    }
}

void BaselineClient::pump(std::size_t index) {
    Server& server = _servers[index];
    while (!server.waiting.empty() && !server.idle.empty()) {
        const ConnectionId id = server.idle.back();
        server.idle.pop_back();
        Pending pending = std::move(server.waiting.front());
        server.waiting.pop_front();
        run(id, std::move(pending));
    }
    if (!server.waiting.empty() && server.connections < _policy.connectionsPerServer) {
        ++server.connections;
        const ServerName name(std::string(1, static_cast<char>('a' + index)));
        _connections[_connector.open(name)] = Connection{index, false, false, std::nullopt, {}};
    }
}

void BaselineClient::run(ConnectionId id, Pending pending) {
    contract::BackendProgram program;
    for (const contract::StatementStep& step : pending.request.batch.steps) {
        program.commands.push_back({step, contract::ResultUse::Forward, false});
    }
    program.commands.back().syncAfter = true;
    Connection& connection = _connections.at(id);
    connection.running = std::move(pending);
    connection.sqlState.clear();
    _connector.run(id, std::move(program));
}

void BaselineClient::onOpened(ConnectionId id) {
    Connection& connection = _connections.at(id);
    connection.open = true;
    if (connection.monitor) {
        _servers[connection.server].asked = false;
        checkServer(_servers[connection.server], connection.server);
        return;
    }
    _servers[connection.server].idle.push_back(id);
    pump(connection.server);
}

void BaselineClient::forget(ConnectionId id) {
    const Connection& connection = _connections.at(id);
    Server& server = _servers[connection.server];
    if (connection.monitor) {
        server.monitor.reset();
        server.asked = false;
    } else {
        --server.connections;
        std::erase(server.idle, id);
    }
    _connections.erase(id);
}

void BaselineClient::onOpenFailed(ConnectionId id, const std::string& sqlState,
                                  const std::string& /*message*/) {
    const Connection connection = _connections.at(id);
    forget(id);
    Server& server = _servers[connection.server];
    if (connection.monitor) {
        markDown(server);
        return;
    }
    if (_policy.waitsForPrimary || server.waiting.empty()) {
        return;
    }
    const Pending refused = std::move(server.waiting.front());
    server.waiting.pop_front();
    fail(refused, sqlState.empty() ? kConnectionFailure : sqlState, RunState::NotRun);
}

void BaselineClient::onForwardBytes(ConnectionId id, std::size_t commandIndex, std::string bytes) {
    const Pending& pending = *_connections.at(id).running;
    pending.sink->onResponseBytes(pending.request.id, commandIndex, std::move(bytes), true);
}

void BaselineClient::onCommandEnded(ConnectionId id, std::size_t /*commandIndex*/,
                                    contract::CommandOutcome outcome) {
    Connection& connection = _connections.at(id);
    if (connection.monitor) {
        Server& server = _servers[connection.server];
        server.asked = false;
        server.status = contract::readStatus(outcome);
        followPrimary();
    } else if (outcome.kind == contract::CommandOutcome::Kind::Failed) {
        connection.sqlState = outcome.sqlState;
    }
}

void BaselineClient::onProgramEnded(ConnectionId id, contract::ConnectionState /*state*/) {
    Connection& connection = _connections.at(id);
    if (connection.monitor) {
        return;
    }
    const Pending pending = std::move(*std::exchange(connection.running, std::nullopt));
    const std::size_t server = connection.server;
    if (connection.sqlState.empty()) {
        ExecutionResult result;
        result.servedByReplica = server != _primary;
        finish(pending, std::move(result));
    } else {
        fail(pending, connection.sqlState, RunState::RolledBack);
    }
    _servers[server].idle.push_back(id);
    pump(server);
}

void BaselineClient::onLost(ConnectionId id, bool sent, const std::string& /*message*/) {
    const Connection connection = _connections.at(id);
    forget(id);
    if (connection.monitor) {
        markDown(_servers[connection.server]);
        return;
    }
    if (connection.running) {
        fail(*connection.running, kConnectionFailure, sent ? RunState::Unknown : RunState::NotRun);
    }
    pump(connection.server);
}

void BaselineClient::finish(const Pending& pending, ExecutionResult result) {
    pending.sink->onCompleted(pending.request.id, std::move(result));
}

void BaselineClient::fail(const Pending& pending, const std::string& sqlState, RunState runState) {
    contract::ExecutionError error;
    error.sqlState = sqlState;
    error.runState = runState;
    ExecutionResult result;
    result.error = std::move(error);
    finish(pending, std::move(result));
}

void BaselineClient::expire(std::deque<Pending>& queue) {
    const TimePoint now = _deployment.queue().now();
    std::deque<Pending> kept;
    for (Pending& pending : std::exchange(queue, {})) {
        if (pending.request.deadline <= now) {
            fail(pending, kQueryCanceled, RunState::NotRun);
        } else {
            kept.push_back(std::move(pending));
        }
    }
    std::ranges::move(queue, std::back_inserter(kept));
    queue = std::move(kept);
}

}  // namespace coralhoist::experiment
