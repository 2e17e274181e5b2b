/** A back-end connector whose simulated servers answer from tables that the test changes. */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "base/Time.h"
#include "contract/BackendConnector.h"
#include "contract/GroupExecutor.h"
#include "machine/ServerStatus.h"

namespace coralhoist::contract {

class FakeClock final : public Clock {
public:
    TimePoint now() const override { return _now; }
    void advance(Duration duration) { _now += duration; }

private:
    TimePoint _now{std::chrono::seconds(1000)};
};

/** Simulated servers that execute programs at once unless a statement is held. */
class FakeBackend final : public BackendConnector {
public:
    struct Connection {
        ServerName server;
        bool open = false;
        ConnectionState state = ConnectionState::Idle;
        std::optional<BackendProgram> held;
        bool reading = true;
        int cancels = 0;
    };
    /** A statement that reached a server. */
    struct Executed {
        ServerName server;
        ConnectionId connection;
        std::string sql;
    };

    ConnectionId open(const ServerName& server) override;
    void run(ConnectionId connection, BackendProgram program) override;
    void cancel(ConnectionId connection) override { ++connections.at(connection).cancels; }
    void setReading(ConnectionId connection, bool reading) override {
        connections.at(connection).reading = reading;
    }
    void close(ConnectionId connection) override { connections.erase(connection); }

    /** Delivers events until none is pending. */
    void deliver();
    /** Resumes the programs that are held at the statement. */
    void unhold(const std::string& sql);
    /** Breaks the connection on which the statement is held. */
    void loseHeld(const std::string& sql, bool sent);
    /** Breaks every connection to a server. */
    void loseAll(const ServerName& server);
    std::size_t countExecuted(const std::string& sql) const;
    /** @return the server that executed the statement last; empty when none did. */
    ServerName lastServerOf(const std::string& sql) const;
    std::size_t openTo(const ServerName& server) const;

    BackendEvents* events = nullptr;
    std::map<ServerName, machine::ServerStatus> statuses;
    /** Servers that refuse connections. */
    std::set<ServerName> refusing;
    /** Servers that answer neither connection attempts nor programs. */
    std::set<ServerName> silent;
    /** Statements that are executed only after unhold. */
    std::set<std::string> heldStatements;
    /**
     * Responses to statements. A statement without an entry succeeds with one row that repeats the
     * statement.
     */
    std::map<std::string, CommandOutcome> answers;
    /** Called when a statement is executed. */
    std::function<void(const ServerName&, const std::string&)> onExecute;
    std::map<ConnectionId, Connection> connections;
    std::vector<Executed> executed;
    std::size_t statusQueries = 0;

private:
    void execute(ConnectionId id, const BackendProgram& program);
    CommandOutcome outcomeOf(Connection& connection, const BackendCommand& command);
    std::vector<ConnectionId> holders(const std::string& sql) const;

    std::uint64_t _lastId = 0;
    std::deque<std::function<void()>> _pending;
};

/** Records the calls to a request's sink. */
class RecordingSink final : public ResponseSink {
public:
    struct Answer {
        std::string bytes;
        std::vector<std::size_t> completedSteps;
        std::optional<ExecutionResult> result;
        int completions = 0;
    };
    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, ExecutionResult result) override;

    std::map<RequestId, Answer> answers;
    bool accepts = true;
};

/** An executor over three fake servers a, b and c, with a as primary in term 1. */
struct ExecutorFixture {
    ExecutorFixture();

    /** Advances time in steps and delivers every event that becomes due. */
    void advance(Duration duration);
    void settle();
    ExecutionRequest request(const std::string& sql, StatementKind kind);
    RequestId submit(ExecutionRequest request);
    RequestId submit(const std::string& sql, StatementKind kind) {
        return submit(request(sql, kind));
    }
    RecordingSink::Answer& answer(RequestId id) { return sink.answers[id]; }
    bool isOver(RequestId id) { return answer(id).completions == 1; }
    std::string sqlState(RequestId id);
    /** Moves all followers to the term and makes `primary` its primary. */
    void elect(const ServerName& primary, Term term, const std::set<ServerName>& followers);
    void setPositions(LogPosition position);

    FakeClock clock;
    SeededRandom random{7};
    FakeBackend backend;
    RecordingSink sink;
    settings::GroupSettings settings;
    settings::ServiceSettings service;
    std::optional<GroupExecutor> executor;
    std::uint64_t lastRequest = 0;
    SessionId session{1};
};

inline const ServerName kServerA{"a"};
inline const ServerName kServerB{"b"};
inline const ServerName kServerC{"c"};
inline constexpr const char* kStatusQuery = "status";

}  // namespace coralhoist::contract
