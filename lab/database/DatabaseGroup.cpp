#include "lab/database/DatabaseGroup.h"

#include <chrono>
#include <utility>

#include "base/Error.h"

namespace coralhoist::lab::database {
namespace {

constexpr OpTime kInitialEnd{1, 0x1000100};
constexpr LogPosition kInitialStart = 0x1000000;

}  // namespace

DatabaseGroup::DatabaseGroup(GroupOptions options)
    : _options(std::move(options)),
      _replicator(_timers, _options, _servers),
      _election(_timers, _options, _servers, _replicator),
      _switchover(_timers, _election) {
    std::uint64_t seed = _options.randomSeed;
    for (const ServerOptions& server : _options.servers) {
        _servers.push_back(
            std::make_unique<Server>(_timers, _analyzer, _options, server, ++seed,
                                     [this](Server& primary) { _replicator.onAppended(primary); }));
    }
}

DatabaseGroup::~DatabaseGroup() = default;

Status DatabaseGroup::start() {
    if (Status status = runInitialSql(); !status.isOk()) {
        return status;
    }
    for (const auto& server : _servers) {
        if (Status status = server->listener().listen(_options.address); !status.isOk()) {
            return status;
        }
    }
    _replicator.start();
    _servers.front()->promote(1);
    _election.start();
    return Status::ok();
}

Status DatabaseGroup::runInitialSql() {
    const std::shared_ptr<const Analysis> analysis = _analyzer.analyze(_options.initialSql);
    if (analysis->error) {
        return {ErrorCode::InvalidArgument, "initial SQL: " + analysis->error->message};
    }
    auto entry = std::make_shared<LogEntry>();
    entry->opTime = kInitialEnd;
    entry->previous = kInitialStart;
    entry->nowMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
    for (const StatementPointer& statement : analysis->statements) {
        entry->statements.push_back({statement, {}, _options.randomSeed});
    }
    for (const auto& server : _servers) {
        if (const auto error = server->applyInitial(entry)) {
            return {ErrorCode::InvalidArgument, "initial SQL: " + error->message};
        }
    }
    return Status::ok();
}

std::vector<std::uint16_t> DatabaseGroup::ports() const {
    std::vector<std::uint16_t> ports;
    for (const auto& server : _servers) {
        ports.push_back(server->listener().port());
    }
    return ports;
}

Server* DatabaseGroup::find(const ServerName& name) const {
    for (const auto& server : _servers) {
        if (server->name() == name) {
            return server.get();
        }
    }
    return nullptr;
}

Server* DatabaseGroup::primary() const {
    Server* newest = nullptr;
    for (const auto& server : _servers) {
        if (server->isPrimary() && (newest == nullptr || newest->term() < server->term())) {
            newest = server.get();
        }
    }
    return newest;
}

Status DatabaseGroup::apply(const FaultCommand& command) {
    Server* server = find(command.server);
    if (server == nullptr) {
        return {ErrorCode::NotFound, "no server \"" + command.server.value() + "\""};
    }
    switch (command.action) {
        case FaultAction::Cut:
            server->cut(command.scope);
            break;
        case FaultAction::Heal:
            server->heal();
            break;
        case FaultAction::Crash:
            server->crash();
            break;
        case FaultAction::Restart:
            return server->restart();
        case FaultAction::Pause:
            server->setPaused(true);
            break;
        case FaultAction::Resume:
            server->setPaused(false);
            break;
        case FaultAction::ReplayLag:
            server->setReplayLag(command.duration);
            break;
        case FaultAction::ReplicationDelay:
            server->setReplicationDelay(command.duration);
            break;
        case FaultAction::ResetConnections:
            server->listener().resetConnections(command.count);
            break;
        case FaultAction::AnswerDelay:
            server->listener().setAnswerDelay(command.duration);
            break;
        case FaultAction::Leave:
            leave(*server, command.duration);
            break;
        case FaultAction::DropAnswerAfterCommit:
            server->loseAnswers(command.count);
            break;
        case FaultAction::Switchover:
            return switchOver(*server);
    }
    return Status::ok();
}

Status DatabaseGroup::switchOver(Server& successor) {
    Server* current = primary();
    if (current == nullptr) {
        return {ErrorCode::Unavailable, "no server leads"};
    }
    return _switchover.begin(*current, successor, [](bool) {});
}

void DatabaseGroup::leave(Server& server, Duration after) {
    server.setLeaving();
    _timers.schedule(after, [this, &server] { shutDown(server); });
}

void DatabaseGroup::shutDown(Server& server) {
    if (!server.isLeaving()) {
        return;
    }
    const auto close = [&server](bool) {
        server.listener().terminateAll(false);
        server.crash();
    };
    Server* successor = bestSuccessor(server);
    if (!server.isPrimary() || successor == nullptr ||
        !_switchover.begin(server, *successor, close).isOk()) {
        close(false);
    }
}

Server* DatabaseGroup::bestSuccessor(const Server& leaving) const {
    Server* best = nullptr;
    for (const auto& server : _servers) {
        const bool isCandidate = server.get() != &leaving && !server->isPrimary() &&
                                 !server->isLeaving() && areConnected(leaving, *server);
        if (isCandidate && (best == nullptr || best->log().end() < server->log().end())) {
            best = server.get();
        }
    }
    return best;
}

}  // namespace coralhoist::lab::database
