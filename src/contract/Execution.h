/**
 * The interface between callers' sessions and the executors of their batches. An executor is either
 * the group executor of this process or another proxy reached over a peer link; both implement
 * StatementExecutor.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"
#include "contract/Statement.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::contract {

/** A session parameter that is applied to the back-end connection before the batch runs. */
struct SessionParameter {
    std::string name;
    std::string value;

    bool operator==(const SessionParameter&) const = default;
};

/** One batch to execute, with everything that its execution depends on. */
struct ExecutionRequest {
    RequestId id;
    SessionId session;
    GroupName group;
    ServiceName service;
    StatementBatch batch;
    /** Settings of the service at the time when the batch arrived at the caller's proxy. */
    settings::ServiceSettings serviceSettings;
    /** After this time the request is refused, or its outcome is reported as unknown. */
    TimePoint deadline;
    /**
     * Read floor from a token that the caller presented; reads with a token need no majority
     * sample.
     */
    std::optional<OpTime> floor;
    /** Deduplicates the write or the transaction; see ExecutorKeys.cpp. */
    std::optional<std::string> requestKey;
    /**
     * Set inside an open explicit transaction or an unfinished implicit one; pins the connection.
     */
    std::optional<TransactionId> transaction;
    std::vector<SessionParameter> sessionParameters;
    /** Number of times that proxies have forwarded the request; bounds forwarding loops. */
    std::uint32_t forwardings = 0;
};

/** Whether a failed request was executed. */
enum class RunState {
    NotRun,     /**< No statement of the batch took effect, and none will. */
    RolledBack, /**< The batch ran and all its effects were undone. */
    Unknown,    /**< The batch may have taken effect. */
    Ran,        /**< The batch took effect. */
};

/** Why a proxy did not complete a request; determines whether a router may try another owner. */
enum class RoutingFailure {
    None,             /**< The error does not depend on which proxy was asked. */
    NotOwner,         /**< The proxy does not own the group or is draining; nothing ran. */
    OwnerUnreachable, /**< The link to the owner failed, or the owner's response did not arrive in
                         time. */
};

/** An error that is reported to the caller. */
struct ExecutionError {
    /** PostgreSQL's SQLSTATE, five characters. */
    std::string sqlState;
    std::string message;
    std::string detail;
    std::string hint;
    RunState runState = RunState::NotRun;
    /** Delay after which the caller should retry; zero when a retry does not help. */
    Duration retryAfter{0};
    RoutingFailure routingFailure = RoutingFailure::None;
};

/** Transaction status after a batch, as in ReadyForQuery. */
enum class TransactionStatus { Idle, InTransaction, Failed };

/** Result of a request. Exactly one result is delivered for each request. */
struct ExecutionResult {
    /** An error of the proxy. Errors of the database are part of the response bytes instead. */
    std::optional<ExecutionError> error;
    TransactionStatus transactionStatus = TransactionStatus::Idle;
    /** Pins the following batches of the session while a transaction is open. */
    std::optional<TransactionId> transaction;
    /**
     * Smallest point of the replicated history that covers everything the session has read or
     * written; becomes the session's token.
     */
    std::optional<OpTime> observed;
    /** Whether a replica served the request; used for statistics. */
    bool servedByReplica = false;
};

/** Receives the response to one request. Methods are called in order on the executor's thread. */
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /**
     * Receives back-end messages (ParameterDescription, RowDescription, DataRow, CommandComplete,
     * EmptyQueryResponse, NoData, NoticeResponse, ErrorResponse) to be relayed to the caller. The
     * caller link itself sends the Parse, Bind and Close completions and ReadyForQuery.
     * @param id the request.
     * @param stepIndex the step of the batch to which the bytes belong.
     * @param bytes whole messages.
     * @param stepComplete whether this ends the response to the step.
     * @return false to apply back-pressure: the executor delivers no more bytes until
     *         StatementExecutor::resume is called.
     */
    virtual bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                                 bool stepComplete) = 0;

    /**
     * The request has ended. No call for it follows.
     * @param id the request.
     * @param result the outcome of the request.
     */
    virtual void onCompleted(RequestId id, ExecutionResult result) = 0;
};

/** Executes batches. All methods are called on the executor's thread. */
class StatementExecutor {
public:
    virtual ~StatementExecutor() = default;

    /**
     * Accepts a request. The sink always gets exactly one onCompleted, also for refusals, and may
     * get it during this call.
     * @param request the batch.
     * @param sink must outlive the request.
     */
    virtual void submit(ExecutionRequest request, ResponseSink& sink) = 0;

    /**
     * Resumes the delivery of bytes after back-pressure.
     * @param id the request whose delivery was paused.
     */
    virtual void resume(RequestId id) = 0;

    /**
     * Handles a cancel request of the caller. Best effort; the request still completes.
     * @param id the request.
     */
    virtual void cancel(RequestId id) = 0;

    /**
     * Ends the session: its running request is abandoned and its open transaction is rolled back.
     * No sink call for the session follows.
     * @param session the caller's session.
     */
    virtual void endSession(SessionId session) = 0;
};

}  // namespace coralhoist::contract
