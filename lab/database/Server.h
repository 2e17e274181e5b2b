/** One server of a stand-in database group. */
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/database/ConnectionListener.h"
#include "lab/database/SessionHost.h"

namespace coralhoist::lab::database {

/** Which traffic a cut stops. */
enum class CutScope {
    Peers,      /**< The server still answers its clients. */
    Everything, /**< Clients get no answer either. */
};

/** Counts since the start. */
struct ServerCounters {
    std::array<std::uint64_t, 4> served{};
    /** Transactions that changed data and were committed here as primary. */
    std::uint64_t committedWrites = 0;
    /** Statements other than Status and Control started since the server began to leave. */
    std::uint64_t servedSinceLeave = 0;
};

/**
 * Data, log and role of one server, and the faults put on it. Terms and roles change only through
 * Replicator and Election.
 *
 * Two terms are kept. votedTerm is the highest one the server has voted in or heard of; it accepts
 * nothing from a primary of an older one. term is the one whose primary's log its own is known to
 * be a prefix of; it is what the server reports with its positions.
 */
class Server final : public SessionHost, public ServerState {
public:
    /** Called after the server, as primary, has appended to its log. */
    using Appended = std::function<void(Server& primary)>;

    /** All arguments outlive the server. */
    Server(TimerQueue& timers, StatementAnalyzer& analyzer, const GroupOptions& group,
           const ServerOptions& options, std::uint64_t randomSeed, Appended appended);
    ~Server() override;

    const ServerName& name() const { return _options.name; }
    const ZoneName& zone() const { return _options.zone; }
    ConnectionListener& listener() { return _listener; }
    const ConnectionListener& listener() const { return _listener; }
    const ServerCounters& counters() const { return _counters; }

    // Replication and elections.
    bool isPrimary() const { return _isPrimary; }
    Term votedTerm() const { return _votedTerm; }
    void vote(Term term) { _votedTerm = std::max(_votedTerm, term); }
    const ReplicationLog& log() const { return _log; }
    TimePoint lastContact() const { return _lastContact; }
    void noteContact() { _lastContact = _timers.now(); }
    /** Becomes the primary of a term, with all it has received. */
    void promote(Term term);
    /** Becomes a replica: open writes end with 57P01. */
    void stepDown();
    /** The primary of a term, at least votedTerm, has made contact: follows it. */
    void follow(Server& primary);
    /** Takes an entry from the primary it follows; false if it does not follow its log's end. */
    bool receive(LogEntryPointer entry);
    /** A replica has received the log up to a position. */
    void onAcknowledged(const ServerName& replica, LogPosition position);

    // Faults.
    bool isAlive() const { return _isAlive; }
    bool isPaused() const { return _isPaused; }
    bool isCut() const { return _isCut; }
    bool isLeaving() const { return _isLeaving; }
    /** @return whether it takes part in replication and elections now. */
    bool isReachable() const { return _isAlive && !_isPaused && !_isCut; }
    void cut(CutScope scope);
    void heal();
    void crash();
    Status restart();
    void setPaused(bool paused);
    void setLeaving();
    void setReplayLag(Duration lag);
    void setReplicationDelay(Duration delay) { _replicationDelay = delay; }
    Duration replicationDelay() const { return _replicationDelay; }
    /** The answers to the next commits get lost with their connections. */
    void loseAnswers(int count) { _answersToLose = count; }

    // ServerState.
    bool isInRecovery() const override { return !_isPrimary; }
    Term term() const override { return _term; }
    LogPosition receivedPosition() const override { return _log.end().position; }
    LogPosition replayedPosition() const override { return _replayed; }

    // SessionHost.
    const ServerState& state() const override { return *this; }
    Storage& storage() override { return _storage; }
    WriteLock& writeLock() override { return _writeLock; }
    SlotScheduler& executionSlots() override { return _executionSlots; }
    TimerQueue& timers() override { return _timers; }
    StatementAnalyzer& analyzer() override { return _analyzer; }
    const ServerLimits& limits() const override { return _group.limits; }
    std::uint64_t nextRandom() override { return _random(); }
    void countServed(ServedKind kind) override;
    LogPosition commit(std::vector<LoggedStatement> statements,
                       std::int64_t nowMicroseconds) override;
    bool takeAnswerLoss() override;
    bool mayAnswerCommit(LogPosition position) const override;
    MajorityWaitId awaitCommit(LogPosition position, std::function<void()> reached) override;
    void cancelAwait(MajorityWaitId wait) override;

    /** Applies an entry that every server starts with. */
    std::optional<SqlError> applyInitial(const LogEntryPointer& entry);

private:
    struct MajorityWait {
        MajorityWaitId id;
        LogPosition position = 0;
        std::function<void()> reached;
    };
    struct PendingReplay {
        TimePoint due;
        LogEntryPointer entry;
    };

    void append(std::vector<LoggedStatement> statements, std::int64_t nowMicroseconds);
    void replayDue();
    void armReplay();
    void replay(const LogEntry& entry);
    void copyFrom(Server& primary);
    void updateFrozen();
    void answerMajorityWaits();

    TimerQueue& _timers;
    StatementAnalyzer& _analyzer;
    const GroupOptions& _group;
    const ServerOptions& _options;
    std::mt19937_64 _random;
    Appended _appended;

    bool _isPrimary = false;
    Term _term = 1;
    Term _votedTerm = 1;
    ReplicationLog _log;
    LogPosition _replayed;
    TimePoint _lastContact;
    std::deque<PendingReplay> _pendingReplay;
    std::optional<TimerId> _replayTimer;
    std::map<ServerName, LogPosition> _acknowledged;
    std::uint64_t _lastWait = 0;
    std::vector<MajorityWait> _majorityWaits;

    bool _isAlive = true;
    bool _isPaused = false;
    bool _isCut = false;
    bool _isCutFromClients = false;
    bool _isLeaving = false;
    Duration _replayLag;
    Duration _replicationDelay{0};
    int _answersToLose = 0;
    ServerCounters _counters;

    Storage _storage;
    WriteLock _writeLock;
    SlotScheduler _executionSlots;
    /** Last, because its connections use all of the above when they are destroyed. */
    ConnectionListener _listener;
};

}  // namespace coralhoist::lab::database
