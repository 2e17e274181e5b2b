/** State of one request in the executor. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "contract/AdmissionQueue.h"
#include "contract/BatchPlan.h"
#include "contract/Execution.h"
#include "contract/MajoritySampler.h"
#include "contract/ProgramBuilder.h"
#include "contract/ResponseOutbox.h"

namespace coralhoist::contract {

/** Phase of a request's execution. */
enum class RequestPhase {
    Routing,                /**< Ready to be assigned a read floor and a server. */
    WaitingFloor,           /**< Waits for a majority sample. */
    WaitingPrimary,         /**< Waits for a primary that can execute the request. */
    WaitingPause,           /**< Waits for a delay before the request is routed again. */
    Queued,                 /**< Waits for a slot and a connection of its server. */
    Running,                /**< One of the request's programs runs on a connection. */
    WaitingAcknowledgement, /**< Committed; waits for a majority sample that confirms the commit. */
    Delivering, /**< The result is final; the remaining response is delivered to the sink. */
};

/** The program of a request that is running or comes next. */
enum class RequestStage {
    Plain,          /**< The batch itself, without a request key of its own. */
    KeyClaim,       /**< BEGIN, claim of the key, the batch. */
    KeyCommit,      /**< Record of the outcome, COMMIT, status. */
    KeyLookup,      /**< ROLLBACK, the recorded outcome, status. */
    KeyCreateTable, /**< ROLLBACK, creation of the key table. */
};

/** One request from submit to the last call of its sink. */
struct RequestContext {
    ExecutionRequest request;
    ResponseSink* sink = nullptr;
    BatchPlan plan;
    RequestPhase phase = RequestPhase::Routing;
    RequestStage stage = RequestStage::Plain;

    // Routing.
    SampleTicket ticket = 0;
    std::optional<OpTime> floor;
    /** A replica could not serve the request. */
    bool primaryOnly = false;
    /** Ends a transaction that is already rolled back; any server can answer the request. */
    bool anyServer = false;
    /** The caller's token must be compared with the next sample. */
    bool verifiesToken = false;
    /** Server in whose queue the request waits or on which it runs. */
    ServerName server;
    bool onReplica = false;

    // Execution.
    std::optional<AdmissionClass> slot;
    std::optional<ConnectionId> connection;
    std::vector<CommandLabel> labels;
    std::vector<CommandOutcome> outcomes;
    bool appliedSessionState = false;
    bool guardFailed = false;
    bool refusedAsReadOnly = false;
    /**
     * The request was completed or abandoned before its program ended; further output is discarded.
     */
    bool dropsOutput = false;
    bool readingPaused = false;
    Term executionTerm = 0;
    /** A COMMIT of an attempt with a request key was sent and its outcome is unknown. */
    bool mayHaveCommitted = false;
    std::uint32_t tableCreations = 0;

    // Response.
    ResponseOutbox outbox;
    bool sinkBlocked = false;
    bool outgoing = false;
    ExecutionResult result;
    OpTime commitPoint;

    bool isKeyed() const { return request.requestKey.has_value(); }
    bool isOver() const { return phase == RequestPhase::Delivering; }
    /** Writes and commits within the batch; the batch may take effect as soon as it is sent. */
    bool isAutocommitWrite() const {
        const bool ends = plan.commits || (!plan.openAtEnd && !plan.flush);
        return !request.transaction && plan.writes && ends;
    }
    /** Leaves a transaction open that the caller did not begin by a statement. */
    bool opensImplicitTransaction() const {
        return !request.transaction && plan.flush && !plan.describeOnly &&
               !plan.hasTransactionControl;
    }
    /** The response contains data, so the server must cover the read floor. */
    bool needsFloor() const {
        return !request.transaction && !isAutocommitWrite() && !plan.describeOnly && !anyServer;
    }
    /** A lone COMMIT or ROLLBACK outside a transaction; any server answers it alike. */
    bool onlyEndsTransaction() const {
        return !request.transaction && plan.endsTransaction && request.batch.steps.size() == 1;
    }
    /** A healthy replica can serve the request as well as the primary. */
    bool mayUseReplica() const {
        const bool readsOnly = plan.readOnly || (plan.readOnlyTransaction && !plan.writes);
        return readsOnly && !primaryOnly &&
               request.serviceSettings.readRouting == settings::ReadRouting::Replica;
    }
};

using RequestPointer = std::shared_ptr<RequestContext>;

}  // namespace coralhoist::contract
