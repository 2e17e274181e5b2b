/**
 * The messages between a caller duty and the execution duty. RingExecutor is the caller duty's end,
 * RingExecutorServer the execution duty's.
 *
 * Flow control: the server sends at most kResponseWindow chunks of a request that the other end has
 * not acknowledged. The caller's end acknowledges a chunk when its sink takes more, so a caller
 * that stops reading holds back its own request only.
 */
#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "base/Ring.h"
#include "contract/Execution.h"

namespace coralhoist::duty {

/** Response chunks of one request on their way between the two duties. */
constexpr std::size_t kResponseWindow = 4;

/** Items that one ring holds. */
constexpr std::size_t kExecutorRingCapacity = 8192;

struct SubmitCommand {
    contract::ExecutionRequest request;
};
/** One response chunk of the request was taken. */
struct AcknowledgeCommand {
    RequestId request;
};
struct CancelCommand {
    RequestId request;
};
struct EndSessionCommand {
    SessionId session;
};
using ExecutorCommand =
    std::variant<SubmitCommand, AcknowledgeCommand, CancelCommand, EndSessionCommand>;

struct ResponseBytesEvent {
    RequestId request;
    std::size_t stepIndex = 0;
    std::string bytes;
    bool stepComplete = false;
};
struct CompletedEvent {
    RequestId request;
    contract::ExecutionResult result;
};
using ExecutorEvent = std::variant<ResponseBytesEvent, CompletedEvent>;

/** The pair of rings between one caller duty and the execution duty. */
struct ExecutorChannel {
    Ring<ExecutorCommand> commands{kExecutorRingCapacity};
    Ring<ExecutorEvent> events{kExecutorRingCapacity};
};

}  // namespace coralhoist::duty
