/** Has one batch at a time executed and turns the answer into the caller's bytes. */
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contract/Execution.h"
#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"
#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::caller {

/** How a batch ended. */
struct BatchOutcome {
    PendingBatch batch;
    contract::ExecutionResult result;
    /** An ErrorResponse went to the caller. */
    bool failed = false;
    /** Place of the error in the batch's reply; what follows it did not happen. */
    std::size_t failedEntry = 0;
};

/** Receives what a running batch yields. */
class BatchEvents {
public:
    virtual ~BatchEvents() = default;

    /** @return false when the caller takes no more for now. */
    virtual bool onBatchBytes(std::string bytes) = 0;
    /** The batch has ended; the next one may be run. */
    virtual void onBatchEnded(BatchOutcome outcome) = 0;
};

/** Sink of a session's requests. */
class BatchRunner final : public contract::ResponseSink {
public:
    /** @param context, state, events outlive the runner. */
    BatchRunner(const CallerContext& context, SessionState& state, BatchEvents& events)
        : _context(context), _state(state), _events(events) {}

    /** Starts a batch; may end it before it returns. Call only when none is running. */
    void run(PendingBatch pending);

    bool isRunning() const { return _running; }

    /** The caller takes bytes again. */
    void onRoom();
    /** Asks the executor to cancel what runs. */
    void cancel();
    /** Ends the session: no event follows. */
    void abandon();

    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, contract::ExecutionResult result) override;

private:
    std::optional<OpTime> takeFloor();
    void checkFloor(OpTime floor, const settings::ServiceSettings& settings);
    std::optional<std::string> takeRequestKey();
    std::vector<contract::SessionParameter> takeParameters();
    TimePoint deadline(const settings::ServiceSettings& settings) const;
    void submit(std::optional<OpTime> floor, const settings::ServiceSettings& settings);
    void refuse(contract::ExecutionError error);
    void finish(contract::ExecutionResult result);
    void count(const contract::ExecutionResult& result) const;

    const CallerContext& _context;
    SessionState& _state;
    BatchEvents& _events;
    PendingBatch _pending;
    bool _running = false;
    /** The request at the executor; nothing while a token is being checked. */
    std::optional<RequestId> _request;
    bool _submittedBefore = false;
    bool _heldBack = false;
    bool _cancelled = false;
    /** Guards the answer of a token check against the end of the session. */
    std::shared_ptr<bool> _alive = std::make_shared<bool>(true);
};

/** @return the ErrorResponse for an error of the proxy, with run state and pause in its text. */
pgwire::ResponseFields responseFields(const contract::ExecutionError& error);

}  // namespace coralhoist::caller
