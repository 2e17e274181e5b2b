#include "duty/RingExecutorServer.h"

#include <cassert>
#include <utility>

#include "base/Log.h"

namespace coralhoist::duty {
namespace {

constexpr unsigned kChannelShift = 56;
constexpr std::uint64_t kNumberMask = (std::uint64_t{1} << kChannelShift) - 1;

}  // namespace

RingExecutorServer::RingExecutorServer(ExecutorChannel& channel, std::uint8_t channelNumber,
                                       contract::StatementExecutor& executor)
    : _executor(executor),
      _channelNumber(channelNumber),
      _sender(channel.events),
      _receiver(channel.commands,
                [this](ExecutorCommand&& command) { onCommand(std::move(command)); }) {}

std::uint64_t RingExecutorServer::widened(std::uint64_t number) const {
    assert(number <= kNumberMask);
    return (std::uint64_t{_channelNumber} << kChannelShift) | number;
}

std::uint64_t RingExecutorServer::narrowed(std::uint64_t number) {
    return number & kNumberMask;
}

void RingExecutorServer::onCommand(ExecutorCommand&& command) {
    if (auto* submit = std::get_if<SubmitCommand>(&command)) {
        onSubmit(std::move(*submit));
    } else if (const auto* acknowledge = std::get_if<AcknowledgeCommand>(&command)) {
        onAcknowledge(RequestId(widened(acknowledge->request.value())));
    } else if (const auto* cancel = std::get_if<CancelCommand>(&command)) {
        _executor.cancel(RequestId(widened(cancel->request.value())));
    } else if (const auto* end = std::get_if<EndSessionCommand>(&command)) {
        onEndSession(SessionId(widened(end->session.value())));
    }
}

void RingExecutorServer::onSubmit(SubmitCommand&& command) {
    contract::ExecutionRequest& request = command.request;
    request.id = RequestId(widened(request.id.value()));
    request.session = SessionId(widened(request.session.value()));
    _windows.emplace(request.id, Window{request.session, request.group, 0, false});
    _executor.submit(std::move(request), *this);
}

void RingExecutorServer::onAcknowledge(RequestId id) {
    const auto found = _windows.find(id);
    if (found == _windows.end()) {
        return;
    }
    Window& window = found->second;
    --window.outstanding;
    if (window.held && window.outstanding < kResponseWindow) {
        window.held = false;
        _executor.resume(id);
    }
}

void RingExecutorServer::onEndSession(SessionId session) {
    // The executor delivers nothing more for the session, so its windows end here.
    std::erase_if(_windows,
                  [&session](const auto& entry) { return entry.second.session == session; });
    _executor.endSession(session);
}

bool RingExecutorServer::onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                                         bool stepComplete) {
    _sender.send(ResponseBytesEvent{RequestId(narrowed(id.value())), stepIndex, std::move(bytes),
                                    stepComplete});
    const auto found = _windows.find(id);
    if (found == _windows.end()) {
        return true;
    }
    Window& window = found->second;
    ++window.outstanding;
    window.held = window.outstanding >= kResponseWindow;
    return !window.held;
}

void RingExecutorServer::logFailure(RequestId id, const Window& window,
                                    const contract::ExecutionError& error) {
    const bool unknown = error.runState == contract::RunState::Unknown;
    const LogLevel level = unknown ? LogLevel::Warning : LogLevel::Debug;
    LogEvent("execution", level, unknown ? "request.outcome_unknown" : "request.failed")
        .field("request", narrowed(id.value()))
        .field("session", narrowed(window.session.value()))
        .field("group", window.group)
        .field("sqlstate", error.sqlState)
        .field("reason", error.message);
}

void RingExecutorServer::onCompleted(RequestId id, contract::ExecutionResult result) {
    const auto window = _windows.extract(id);
    if (result.error && !window.empty()) {
        logFailure(id, window.mapped(), *result.error);
    }
    _sender.send(CompletedEvent{RequestId(narrowed(id.value())), std::move(result)});
}

}  // namespace coralhoist::duty
