#include "lab/contract/SimulatedServer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "contract/RequestKeySql.h"

namespace coralhoist::simulation {
namespace {

using contract::CommandOutcome;
using contract::ConnectionState;
using contract::StatementStep;

constexpr LogPosition kLie = 1000000;
constexpr Duration kLockPoll = std::chrono::milliseconds(1);

CommandOutcome failure(const std::string& sqlState) {
    CommandOutcome outcome;
    outcome.kind = CommandOutcome::Kind::Failed;
    outcome.sqlState = sqlState;
    outcome.message = sqlState;
    outcome.errorBytes = "E:" + sqlState;
    return outcome;
}

CommandOutcome success(std::string tag) {
    CommandOutcome outcome;
    outcome.commandTag = std::move(tag);
    return outcome;
}

std::string parameter(const StatementStep& step, std::size_t index) {
    return step.parameters.at(index).bytes.value_or("");
}

std::string joined(const std::vector<WriteNumber>& writes) {
    std::string text = "r:";
    for (const WriteNumber write : writes) {
        text += std::to_string(write) + ",";
    }
    return text;
}

constexpr std::string_view kHolds = "holds ";

/** @return the answer to a statement on the data that a session sees. */
std::string answerOf(const std::string& sql, const LogHead& data) {
    if (sql == "read") {
        return joined(writesOf(data));
    }
    if (sql.starts_with(kHolds)) {
        return holdsWrite(data, std::stoull(sql.substr(kHolds.size()))) ? "holds:1" : "holds:0";
    }
    return "ok:" + sql + ";";
}

bool isKeyStatement(const std::string& sql) {
    return sql == contract::kInsertRequestKey || sql == contract::kRecordOutcome ||
           sql == contract::kSelectRequestKey;
}

}  // namespace

SimulatedServer::SimulatedServer(ServerName name, EventQueue& queue, RandomSource& random)
    : _name(std::move(name)),
      _queue(queue),
      _random(random),
      _log(std::make_shared<LogEntry>()),
      _replayed(_log),
      _lastHeard(queue.now()) {}

SimulatedServer::~SimulatedServer() {
    releaseLog(std::move(_replayed));
    releaseLog(std::move(_log));
}

void SimulatedServer::lead(Term term) {
    _term = term;
    _votedTerm = term;
    _primary = true;
    _log = append(_log, term, {});
    ++_replayEpoch;
    _replayed = _log;
}

void SimulatedServer::vote(Term term) {
    _votedTerm = term;
    _lastHeard = _queue.now();
}

void SimulatedServer::hear(Term term) {
    if (term >= _votedTerm) {
        _lastHeard = _queue.now();
    }
}

void SimulatedServer::follow(Term term, const LogHead& log, Duration replayDelay) {
    const bool newTerm = term > _term;
    _lastHeard = _queue.now();
    _votedTerm = std::max(_votedTerm, term);
    if (newTerm && _primary) {
        _primary = false;
        resetSessions();
    }
    if (!newTerm && log->position <= _log->position) {
        return;
    }
    _term = term;
    _log = log;
    if (newTerm) {
        // A server that changes its history starts again from what both have in common.
        ++_replayEpoch;
        _replayed = log;
        return;
    }
    const std::uint64_t epoch = _replayEpoch;
    _queue.after(replayDelay, [this, epoch, log] {
        if (epoch == _replayEpoch && log->position > _replayed->position) {
            _replayed = log;
        }
    });
}

void SimulatedServer::crash() {
    _up = false;
    _primary = false;
    _waiting.clear();
    ++_replayEpoch;
    resetSessions();
}

void SimulatedServer::restart() {
    _up = true;
    _paused = false;
    _replayed = _log;
    _lastHeard = _queue.now();
}

void SimulatedServer::resume() {
    _paused = false;
    std::vector<std::function<void()>> waiting = std::exchange(_waiting, {});
    for (const auto& action : waiting) {
        action();
    }
}

void SimulatedServer::whenRunning(std::function<void()> action) {
    if (_paused) {
        _waiting.push_back(std::move(action));
    } else {
        action();
    }
}

ServerSessionId SimulatedServer::openSession(SessionPeer& peer) {
    _sessions[++_lastSession].peer = &peer;
    return _lastSession;
}

void SimulatedServer::resetSessions() {
    _executing = 0;
    _waitingForSlot.clear();
    const std::map<ServerSessionId, Session> ended = std::exchange(_sessions, {});
    for (const auto& [id, session] : ended) {
        session.peer->onClosed();
    }
}

void SimulatedServer::closeSession(ServerSessionId session) {
    if (const auto found = _sessions.find(session); found != _sessions.end()) {
        releaseSlot(found->second);
        _sessions.erase(found);
    }
}

void SimulatedServer::cancel(ServerSessionId session) {
    if (const auto found = _sessions.find(session); found != _sessions.end()) {
        found->second.cancelled = found->second.nextCommand < found->second.program.commands.size();
    }
}

void SimulatedServer::run(ServerSessionId id, contract::BackendProgram program) {
    const auto found = _sessions.find(id);
    if (found == _sessions.end()) {
        return;
    }
    Session& session = found->second;
    session.program = std::move(program);
    session.nextCommand = 0;
    session.skipping = false;
    session.cancelled = false;
    takeSlot(id);
}

/** Starts the session's program, at once or when a slot is free. */
void SimulatedServer::takeSlot(ServerSessionId id) {
    if (_capacity.slots > 0 && _executing >= _capacity.slots) {
        _waitingForSlot.push_back(id);
        return;
    }
    ++_executing;
    _sessions.at(id).holdsSlot = true;
    step(id);
}

void SimulatedServer::releaseSlot(Session& session) {
    if (!std::exchange(session.holdsSlot, false)) {
        return;
    }
    --_executing;
    while (!_waitingForSlot.empty()) {
        const ServerSessionId next = _waitingForSlot.front();
        _waitingForSlot.pop_front();
        if (_sessions.contains(next)) {
            takeSlot(next);
            return;
        }
    }
}

Duration SimulatedServer::costOf(const StatementStep& step) {
    return _capacity.serviceTime ? _capacity.serviceTime(step)
                                 : std::chrono::microseconds(50 + _random.below(400));
}

/** Schedules the next command of the session's program. */
void SimulatedServer::step(ServerSessionId id) {
    const Session& waiting = _sessions.at(id);
    const Duration cost = costOf(waiting.program.commands.at(waiting.nextCommand).step);
    _queue.after(cost, [this, id] {
        whenRunning([this, id] {
            const auto found = _sessions.find(id);
            if (found == _sessions.end()) {
                return;
            }
            Session& session = found->second;
            const contract::BackendCommand& command =
                session.program.commands.at(session.nextCommand);
            if (!session.skipping && !session.cancelled && isBlocked(id, command)) {
                _queue.after(kLockPoll, [this, id] {
                    whenRunning([this, id] {
                        if (_sessions.contains(id)) {
                            step(id);
                        }
                    });
                });
                return;
            }
            CommandOutcome outcome;
            outcome.kind = CommandOutcome::Kind::Skipped;
            if (!session.skipping) {
                const bool stops = session.cancelled && command.step.sql != "COMMIT";
                outcome = stops ? failure("57014") : execute(session, command.step);
                session.cancelled = session.cancelled && !stops;
            }
            endCommand(id, session, std::move(outcome));
        });
    });
}

/** An uncommitted row with the same key holds the second insert up. */
bool SimulatedServer::isBlocked(ServerSessionId id, const contract::BackendCommand& command) const {
    if (command.step.sql != contract::kInsertRequestKey) {
        return false;
    }
    const std::string key = parameter(command.step, 1);
    return std::ranges::any_of(_sessions, [id, &key](const auto& entry) {
        const std::vector<KeyRow>& rows = entry.second.pending.keys;
        return entry.first != id &&
               std::ranges::any_of(rows, [&key](const KeyRow& row) { return row.key == key; });
    });
}

void SimulatedServer::endCommand(ServerSessionId id, Session& session, CommandOutcome outcome) {
    const std::size_t index = session.nextCommand++;
    const contract::BackendCommand& command = session.program.commands[index];
    const bool last = session.nextCommand == session.program.commands.size();
    const bool failed = outcome.kind == CommandOutcome::Kind::Failed;
    if (failed) {
        session.skipping = true;
        session.pending = {};
        if (session.state == ConnectionState::InTransaction) {
            session.state = ConnectionState::InFailedTransaction;
        }
    } else if (!session.skipping && command.use == contract::ResultUse::Forward) {
        const std::string& sql = command.step.sql;
        std::string bytes = answerOf(sql, visible(session));
        if (sql == "read") {
            for (const WriteNumber write : session.pending.writes) {
                bytes += std::to_string(write) + ",";
            }
        }
        session.peer->onBytes(index, std::move(bytes));
    }
    if (command.syncAfter || last) {
        if (session.state == ConnectionState::Idle) {
            commit(session);
        }
        session.skipping = false;
    }
    SessionPeer& peer = *session.peer;
    const ConnectionState state = session.state;
    if (last) {
        releaseSlot(session);
    } else {
        step(id);
    }
    peer.onCommandEnded(index, std::move(outcome));
    if (last) {
        peer.onProgramEnded(state);
    }
}

LogHead SimulatedServer::visible(const Session& /*session*/) const {
    return _primary ? _log : _replayed;
}

void SimulatedServer::commit(Session& session) {
    if (!session.pending.empty()) {
        _log = append(_log, _term, std::exchange(session.pending, {}));
    }
}

CommandOutcome SimulatedServer::execute(Session& session, const StatementStep& step) {
    const std::string& sql = step.sql;
    if (sql == "BEGIN" || sql == "COMMIT" || sql == "ROLLBACK") {
        return executeControl(session, sql);
    }
    if (session.state == ConnectionState::InFailedTransaction) {
        return failure("25P02");
    }
    if (sql == "status") {
        return statusRow();
    }
    if (isKeyStatement(sql)) {
        return executeKeyStatement(session, step);
    }
    if (sql.starts_with("write ") || sql == contract::kCreateRequestKeyTable) {
        return executeChange(session, step);
    }
    return success(sql);
}

CommandOutcome SimulatedServer::executeControl(Session& session, const std::string& sql) {
    const bool failed = session.state == ConnectionState::InFailedTransaction;
    if (sql == "BEGIN") {
        session.state = ConnectionState::InTransaction;
        return success("BEGIN");
    }
    const bool commits = sql == "COMMIT" && !failed;
    if (commits) {
        commit(session);
    }
    session.pending = {};
    session.state = ConnectionState::Idle;
    return success(commits ? "COMMIT" : "ROLLBACK");
}

CommandOutcome SimulatedServer::executeChange(Session& session, const StatementStep& step) {
    if (!_primary) {
        return failure("25006");
    }
    if (step.sql == contract::kCreateRequestKeyTable) {
        session.pending.createsKeyTable = !_log->hasKeyTable;
        return success("CREATE TABLE");
    }
    session.pending.writes.push_back(std::stoull(step.sql.substr(std::string("write ").size())));
    return success("INSERT 0 1");
}

CommandOutcome SimulatedServer::executeKeyStatement(Session& session, const StatementStep& step) {
    if (!visible(session)->hasKeyTable) {
        return failure("42P01");
    }
    const std::string service = parameter(step, 0);
    const std::string key = parameter(step, 1);
    if (step.sql == contract::kSelectRequestKey) {
        CommandOutcome outcome = success("SELECT");
        if (const auto row = findKey(visible(session), service, key)) {
            outcome.rows.push_back({{row->fingerprint, row->outcome}});
        }
        return outcome;
    }
    if (!_primary) {
        return failure("25006");
    }
    if (step.sql == contract::kInsertRequestKey) {
        if (findKey(_log, service, key)) {
            return failure("23505");
        }
        session.pending.keys.push_back({service, key, parameter(step, 2), std::nullopt});
        return success("INSERT 0 1");
    }
    for (KeyRow& row : session.pending.keys) {
        row.outcome = parameter(step, 2);
    }
    return success("UPDATE 1");
}

CommandOutcome SimulatedServer::statusRow() const {
    const LogPosition lie = _lies && !_primary ? kLie : 0;
    const LogPosition received = _log->position + lie;
    const LogPosition replayed = (_primary ? _log : _replayed)->position + lie;
    CommandOutcome outcome = success("SELECT 1");
    outcome.rows.push_back({{_primary ? "f" : "t", std::to_string(_term), std::to_string(received),
                             std::to_string(replayed)}});
    return outcome;
}

}  // namespace coralhoist::simulation
