/** One database server of a simulated group: its log, its role and its sessions. */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/BackendConnector.h"
#include "lab/contract/ReplicatedLog.h"
#include "lab/simulation/EventQueue.h"
#include "machine/ServerStatus.h"

namespace coralhoist::simulation {

/** Where a session's answers go: one proxy's end of the connection. */
class SessionPeer {
public:
    virtual ~SessionPeer() = default;
    virtual void onBytes(std::size_t commandIndex, std::string bytes) = 0;
    virtual void onCommandEnded(std::size_t commandIndex, contract::CommandOutcome outcome) = 0;
    virtual void onProgramEnded(contract::ConnectionState state) = 0;
    /** The server has ended the session. */
    virtual void onClosed() = 0;
};

/** What a server can execute. The defaults suit runs that look only at promises. */
struct ServerCapacity {
    /** Programs that execute at once, the others wait in order of arrival; 0 sets no limit. */
    std::size_t slots = 0;
    /** Time that a command takes; without it a short random time. */
    std::function<Duration(const contract::StatementStep&)> serviceTime;
};

/** Number of a session, unique in the group. */
using ServerSessionId = std::uint64_t;

/**
 * Executes programs command by command in virtual time.
 *
 * What a statement does: "write N" appends N to the data, "read" returns all numbers written,
 * "holds N" whether N was written. The statements of the proxy on request keys work as their SQL
 * says.
 */
class SimulatedServer {
public:
    SimulatedServer(ServerName name, EventQueue& queue, RandomSource& random);

    ~SimulatedServer();
    SimulatedServer(const SimulatedServer&) = delete;
    SimulatedServer& operator=(const SimulatedServer&) = delete;

    const ServerName& name() const { return _name; }
    void setCapacity(ServerCapacity capacity) { _capacity = std::move(capacity); }

    // Replication and elections, driven by SimulatedGroup.
    bool isPrimary() const { return _primary; }
    bool isUp() const { return _up; }
    bool isPaused() const { return _paused; }
    bool isReachable() const { return _up && !_paused; }
    Term term() const { return _term; }
    Term votedTerm() const { return _votedTerm; }
    const LogHead& log() const { return _log; }
    TimePoint lastHeard() const { return _lastHeard; }
    void vote(Term term);
    /** A primary of this term is alive. */
    void hear(Term term);
    void lead(Term term);
    /** The log of the primary of a term has arrived, or a part of it. */
    void follow(Term term, const LogHead& log, Duration replayDelay);

    // Faults.
    void crash();
    void restart();
    void pause() { _paused = true; }
    void resume();
    /** Reports positions that the server does not have: for tests that the checker can fail. */
    void lieAboutPositions() { _lies = true; }

    // Sessions.
    ServerSessionId openSession(SessionPeer& peer);
    std::size_t sessionCount() const { return _sessions.size(); }
    void run(ServerSessionId session, contract::BackendProgram program);
    void cancel(ServerSessionId session);
    /** The proxy's end is gone: an open transaction is rolled back. */
    void closeSession(ServerSessionId session);
    /** Ends all sessions. */
    void resetSessions();
    /** Runs an action now, or when the server is no longer paused. */
    void whenRunning(std::function<void()> action);

private:
    struct Session {
        SessionPeer* peer = nullptr;
        contract::ConnectionState state = contract::ConnectionState::Idle;
        Changes pending;
        contract::BackendProgram program;
        std::size_t nextCommand = 0;
        bool skipping = false;
        bool cancelled = false;
        bool holdsSlot = false;
    };

    void takeSlot(ServerSessionId id);
    void releaseSlot(Session& session);
    Duration costOf(const contract::StatementStep& step);
    void step(ServerSessionId id);
    void endCommand(ServerSessionId id, Session& session, contract::CommandOutcome outcome);
    bool isBlocked(ServerSessionId id, const contract::BackendCommand& command) const;
    contract::CommandOutcome execute(Session& session, const contract::StatementStep& step);
    contract::CommandOutcome executeControl(Session& session, const std::string& sql);
    contract::CommandOutcome executeKeyStatement(Session& session,
                                                 const contract::StatementStep& step);
    contract::CommandOutcome executeChange(Session& session, const contract::StatementStep& step);
    contract::CommandOutcome statusRow() const;
    void commit(Session& session);
    LogHead visible(const Session& session) const;

    ServerName _name;
    EventQueue& _queue;
    RandomSource& _random;
    LogHead _log;
    LogHead _replayed;
    Term _term = 1;
    Term _votedTerm = 1;
    bool _primary = false;
    bool _up = true;
    bool _paused = false;
    bool _lies = false;
    TimePoint _lastHeard{};
    std::uint64_t _replayEpoch = 0;
    ServerSessionId _lastSession = 0;
    std::map<ServerSessionId, Session> _sessions;
    std::vector<std::function<void()>> _waiting;
    ServerCapacity _capacity;
    std::size_t _executing = 0;
    std::deque<ServerSessionId> _waitingForSlot;
};

}  // namespace coralhoist::simulation
