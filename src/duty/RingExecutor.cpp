#include "duty/RingExecutor.h"

#include <utility>

#include "contract/Refusals.h"

namespace coralhoist::duty {
namespace {

contract::ExecutionResult overloaded(const contract::ExecutionRequest& request) {
    contract::ExecutionResult result =
        contract::makeFailure(contract::makeError(contract::Refusal::QueueFull));
    result.transaction = request.transaction;
    if (request.transaction) {
        result.transactionStatus = contract::TransactionStatus::InTransaction;
    }
    return result;
}

}  // namespace

RingExecutor::RingExecutor(ExecutorChannel& channel)
    : _sender(channel.commands),
      _receiver(channel.events, [this](ExecutorEvent&& event) { onEvent(std::move(event)); }) {}

void RingExecutor::submit(contract::ExecutionRequest request, contract::ResponseSink& sink) {
    const RequestId id = request.id;
    const SessionId session = request.session;
    ExecutorCommand command = SubmitCommand{std::move(request)};
    if (!_sender.trySend(command)) {
        sink.onCompleted(id, overloaded(std::get<SubmitCommand>(command).request));
        return;
    }
    _pending.emplace(id, PendingRequest{&sink, session, 0, false});
}

void RingExecutor::resume(RequestId id) {
    const auto found = _pending.find(id);
    if (found == _pending.end() || !found->second.held) {
        return;
    }
    PendingRequest& pending = found->second;
    pending.held = false;
    while (pending.unacknowledged > 0) {
        --pending.unacknowledged;
        _sender.send(AcknowledgeCommand{id});
    }
}

void RingExecutor::cancel(RequestId id) {
    if (_pending.contains(id)) {
        _sender.send(CancelCommand{id});
    }
}

void RingExecutor::endSession(SessionId session) {
    std::erase_if(_pending,
                  [&session](const auto& entry) { return entry.second.session == session; });
    _sender.send(EndSessionCommand{session});
}

void RingExecutor::onEvent(ExecutorEvent&& event) {
    if (auto* bytes = std::get_if<ResponseBytesEvent>(&event)) {
        onResponseBytes(std::move(*bytes));
        return;
    }
    onCompleted(std::get<CompletedEvent>(std::move(event)));
}

void RingExecutor::onResponseBytes(ResponseBytesEvent&& event) {
    const RequestId id = event.request;
    const auto found = _pending.find(id);
    if (found == _pending.end()) {
        // The session ended meanwhile; its answer belongs to nobody.
        return;
    }
    contract::ResponseSink& sink = *found->second.sink;
    const bool wantsMore =
        sink.onResponseBytes(id, event.stepIndex, std::move(event.bytes), event.stepComplete);
    // The sink may have ended the session during the call.
    const auto current = _pending.find(id);
    if (current == _pending.end()) {
        return;
    }
    if (wantsMore && !current->second.held) {
        _sender.send(AcknowledgeCommand{id});
        return;
    }
    current->second.held = true;
    ++current->second.unacknowledged;
}

void RingExecutor::onCompleted(CompletedEvent&& event) {
    const auto found = _pending.find(event.request);
    if (found == _pending.end()) {
        return;
    }
    contract::ResponseSink& sink = *found->second.sink;
    _pending.erase(found);
    sink.onCompleted(event.request, std::move(event.result));
}

}  // namespace coralhoist::duty
