/** Execution duty's end of an ExecutorChannel. */
#pragma once

#include <cstdint>
#include <unordered_map>

#include "contract/Execution.h"
#include "duty/ExecutorChannel.h"
#include "duty/RingChannel.h"

namespace coralhoist::duty {

/**
 * Hands the commands of one caller duty to an executor, and the executor's answers back. Session
 * and request numbers are unique within a caller duty only, so both get the channel's number in
 * their top bits before the executor sees them. Lives on the execution duty's thread.
 */
class RingExecutorServer final : public contract::ResponseSink {
public:
    /**
     * @param channel outlives the server.
     * @param channelNumber unique among the process's channels, below 256.
     * @param executor outlives the server.
     */
    RingExecutorServer(ExecutorChannel& channel, std::uint8_t channelNumber,
                       contract::StatementExecutor& executor);

    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, contract::ExecutionResult result) override;

private:
    struct Window {
        SessionId session;
        GroupName group;
        std::size_t outstanding = 0;
        bool held = false;
    };

    void onCommand(ExecutorCommand&& command);
    void onSubmit(SubmitCommand&& command);
    void onAcknowledge(RequestId id);
    void onEndSession(SessionId session);
    std::uint64_t widened(std::uint64_t number) const;
    static std::uint64_t narrowed(std::uint64_t number);
    static void logFailure(RequestId id, const Window& window,
                           const contract::ExecutionError& error);

    contract::StatementExecutor& _executor;
    std::uint8_t _channelNumber;
    RingSender<ExecutorEvent> _sender;
    RingReceiver<ExecutorCommand> _receiver;
    std::unordered_map<RequestId, Window> _windows;
};

}  // namespace coralhoist::duty
