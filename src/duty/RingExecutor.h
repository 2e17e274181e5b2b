/** A StatementExecutor whose work is done on the execution duty's thread. */
#pragma once

#include <unordered_map>

#include "contract/Execution.h"
#include "duty/ExecutorChannel.h"
#include "duty/RingChannel.h"

namespace coralhoist::duty {

/** Caller duty's end of an ExecutorChannel. Lives on the caller duty's thread. */
class RingExecutor final : public contract::StatementExecutor {
public:
    /** @param channel outlives the executor. */
    explicit RingExecutor(ExecutorChannel& channel);

    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

private:
    struct PendingRequest {
        contract::ResponseSink* sink = nullptr;
        SessionId session;
        /** Chunks taken by the sink after which it asked for a pause. */
        std::size_t unacknowledged = 0;
        bool held = false;
    };

    void onEvent(ExecutorEvent&& event);
    void onResponseBytes(ResponseBytesEvent&& event);
    void onCompleted(CompletedEvent&& event);

    RingSender<ExecutorCommand> _sender;
    RingReceiver<ExecutorEvent> _receiver;
    std::unordered_map<RequestId, PendingRequest> _pending;
};

}  // namespace coralhoist::duty
