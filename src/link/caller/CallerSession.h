/** One caller's session: the server side of the PostgreSQL protocol as a state machine. */
#pragma once

#include <QByteArray>
#include <cstdint>
#include <optional>
#include <string>

#include "link/caller/BatchRunner.h"
#include "link/caller/CallerContext.h"
#include "link/caller/ExtendedQuery.h"
#include "link/caller/ParameterReport.h"
#include "link/caller/SessionState.h"
#include "link/caller/StatementPlanner.h"
#include "link/pgwire/FrontendMessages.h"
#include "link/pgwire/MessageFramer.h"

namespace coralhoist::caller {

/** Where a session's bytes go. */
class SessionOutput {
public:
    virtual ~SessionOutput() = default;

    /** Queues bytes for the caller. */
    virtual void send(const std::string& bytes) = 0;
    /** Sends what is queued now: an answer is complete. */
    virtual void flush() = 0;
    /** @return false when too much is queued; CallerSession::onOutputDrained follows. */
    virtual bool hasRoom() const = 0;
    /** Closes the connection once all bytes are sent. */
    virtual void close() = 0;
};

/** What the caller needs to cancel a statement of the session. */
struct CancelIdentity {
    std::int32_t processId = 0;
    std::int32_t secretKey = 0;
};

/**
 * Takes the caller's bytes, gives bytes back and has batches executed. It owns no socket and no
 * timer. Batches run one after the other: while one runs, input waits undecoded.
 *
 * Invariants: each batch gets exactly one ReadyForQuery at its Sync; after an error nothing is
 * answered until then; bytes come only from the batch that runs, which is of this session.
 */
class CallerSession final : private BatchEvents {
public:
    /** @param context, output outlive the session. */
    CallerSession(const CallerContext& context, SessionId id, CancelIdentity identity,
                  SessionOutput& output);
    ~CallerSession() override;
    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    /** The caller has sent bytes. */
    void receive(const QByteArray& bytes);
    /** @return false while the caller should not be read: enough of its input waits already. */
    bool wantsInput() const;
    /** The output has room again. */
    void onOutputDrained();
    /** Ends the session as soon as no transaction and no request is open. */
    void drain();
    /** The connection is gone; call before destruction or leave it to the destructor. */
    void disconnect();
    /** Cancels the statement that runs, if the key is the session's own. */
    bool cancel(std::int32_t secretKey);

    /** @return whether the start-up phase is over. */
    bool isStarted() const { return _phase == Phase::Ready; }
    bool isClosed() const { return _phase == Phase::Closed; }
    /** @return whether no request and no transaction is open. */
    bool isIdle() const;
    const SessionState& state() const { return _state; }

private:
    enum class Phase { Startup, Ready, Closed };

    bool onBatchBytes(std::string bytes) override;
    void onBatchEnded(BatchOutcome outcome) override;

    void processInput();
    bool processNext();
    void onStartupPacket(const QByteArray& payload);
    void start(const pgwire::StartupMessage& message);
    void onMessage(const pgwire::RawMessage& raw);
    void handle(pgwire::Query message);
    void handle(pgwire::Parse message);
    void handle(pgwire::Bind message);
    void handle(const pgwire::Describe& message);
    void handle(const pgwire::Execute& message);
    void handle(const pgwire::Close& message);
    void handle(const pgwire::Sync& message);
    void handle(const pgwire::Flush& message);
    void handle(const pgwire::Terminate& message);
    void handle(const pgwire::PasswordMessage& message);
    void handle(const pgwire::CopyMessage& message);
    void handle(const pgwire::FunctionCall& message);

    void afterExtended(const ExtendedQuery::Refusal& refusal);
    void startBatch();
    void runPending(contract::BatchEnd end);
    void runImplicitRollback();
    void refuseBatch(const pgwire::ResponseFields& fields);
    void applyOutcome(const BatchOutcome& outcome);
    void finishSync();
    void endOfStatementBatch();
    void closeIfDrained();
    void failConnection(const pgwire::ResponseFields& fields);

    const CallerContext& _context;
    CancelIdentity _identity;
    SessionOutput& _output;
    SessionState _state;
    StatementPlanner _planner;
    ExtendedQuery _extended;
    BatchRunner _runner;
    ParameterReport _report;
    pgwire::MessageFramer _framer;
    PendingBatch _pending;
    Phase _phase = Phase::Startup;
    /** Messages are ignored up to the next Sync. */
    bool _skippingToSync = false;
    bool _processing = false;
    bool _draining = false;
    bool _admitted = false;
    /** A write or a transaction has ended since the token was reported. */
    bool _tokenDue = false;
};

}  // namespace coralhoist::caller
