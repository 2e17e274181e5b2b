#include "link/peer/RemoteExecutor.h"

#include <cassert>

#include "base/Error.h"
#include "contract/Refusals.h"
#include "link/peer/MessageConversion.h"

namespace coralhoist::peer {
namespace {

using contract::ExecutionError;
using contract::ExecutionResult;
using contract::makeError;
using contract::makeFailure;
using contract::OpenTransaction;
using contract::Refusal;

/** A credit is sent for each such part of the window. */
constexpr std::size_t kCreditsPerWindow = 4;

}  // namespace

RemoteExecutor::RemoteExecutor(NodeName owner, PeerChannels& channels, const Clock& clock,
                               ForwardingKnobs knobs)
    : _owner(std::move(owner)), _channels(channels), _clock(clock), _knobs(knobs) {}

void RemoteExecutor::submit(contract::ExecutionRequest request, contract::ResponseSink& sink) {
    assert(!_wireIds.contains(request.id));
    const auto session = _sessions.find(request.session);
    const bool transactionOpen =
        session != _sessions.end() && session->second.transaction != OpenTransaction::None;
    const RequestId id = request.id;
    if (request.transaction && !transactionOpen) {
        sink.onCompleted(id, lostTransaction("the link was lost"));
    } else if (_clock.now() >= request.deadline) {
        sink.onCompleted(id, notRun(request, Refusal::DeadlineBeforeRun));
    } else if (request.batch.steps.size() > kMaximumSteps) {
        sink.onCompleted(id, notRun(request, Refusal::BatchTooLargeToForward));
    } else if (_pendingCount >= _knobs.pendingRequestLimit) {
        sink.onCompleted(id, notRun(request, Refusal::QueueFull));
    } else if (_channels.requestLink(_owner) != LinkState::Unreachable) {
        enqueue(std::move(request), sink);
    } else if (request.transaction) {
        sink.onCompleted(id, lostTransaction("the link is down"));
    } else {
        sink.onCompleted(id, notRun(request, Refusal::OwnerUnreachable));
    }
}

void RemoteExecutor::enqueue(contract::ExecutionRequest request, contract::ResponseSink& sink) {
    const WireId wireId = _nextWireId++;
    _wireIds.emplace(request.id, wireId);
    _sessions[request.session].running.push_back(wireId);
    _deadlines.emplace(request.deadline, wireId);
    _requests.emplace(wireId, describe(std::move(request), sink));
    _pending.push_back(wireId);
    ++_pendingCount;
    sendPending();
}

RemoteExecutor::Request RemoteExecutor::describe(contract::ExecutionRequest batch,
                                                 contract::ResponseSink& sink) {
    const OpenTransaction open = _sessions.at(batch.session).transaction;
    Request request;
    request.id = batch.id;
    request.session = batch.session;
    request.sink = &sink;
    request.deadline = batch.deadline;
    request.insideTransaction = open != OpenTransaction::None;
    request.harmless = !request.insideTransaction && contract::changesNothing(batch.batch);
    request.canCommit = contract::canCommitChanges(batch.batch, open);
    request.unsent = std::move(batch);
    return request;
}

void RemoteExecutor::sendPending() {
    if (_pendingCount == 0 || _channels.requestLink(_owner) != LinkState::Up) {
        return;
    }
    while (!_pending.empty() && _channels.unsentBytes(_owner) <= _knobs.unsentBytesLimit) {
        const WireId wireId = _pending.front();
        const auto found = _requests.find(wireId);
        if (found == _requests.end()) {
            _pending.pop_front();
            continue;
        }
        if (!sendOne(wireId, found->second)) {
            return;
        }
    }
}

bool RemoteExecutor::sendOne(WireId wireId, Request& request) {
    const Status sent = _channels.send(
        _owner, toMessage(toWire(*request.unsent, wireId, request.deadline - _clock.now(),
                                 static_cast<std::int64_t>(_knobs.windowBytes))));
    if (!sent.isOk() && sent.code() != ErrorCode::InvalidArgument) {
        return false;
    }
    _pending.pop_front();
    if (!sent.isOk()) {
        complete(wireId, notRun(*request.unsent, Refusal::BatchTooLargeToForward));
        return true;
    }
    request.unsent.reset();
    --_pendingCount;
    _sessions.at(request.session).knownToOwner = true;
    return true;
}

void RemoteExecutor::resume(RequestId id) {
    const auto found = _wireIds.find(id);
    if (found == _wireIds.end()) {
        return;
    }
    const WireId wireId = found->second;
    _requests.at(wireId).held = false;
    deliver(wireId);
}

void RemoteExecutor::cancel(RequestId id) {
    const auto found = _wireIds.find(id);
    if (found == _wireIds.end()) {
        return;
    }
    const WireId wireId = found->second;
    Request& request = _requests.at(wireId);
    if (request.unsent) {
        complete(wireId, notRun(*request.unsent, Refusal::CancelledBeforeRun));
        return;
    }
    gen::Cancel cancel;
    cancel.request = wireId;
    // Best effort: without a link the request ends by itself.
    [[maybe_unused]] const Status sent = _channels.send(_owner, toMessage(std::move(cancel)));
}

void RemoteExecutor::endSession(SessionId session) {
    const auto found = _sessions.find(session);
    if (found == _sessions.end()) {
        return;
    }
    sendEndSession(session);
    const std::vector<WireId> running = found->second.running;
    for (const WireId wireId : running) {
        forget(wireId);
    }
    _sessions.erase(session);
}

void RemoteExecutor::sendEndSession(SessionId session) {
    if (!_sessions.at(session).knownToOwner) {
        return;
    }
    gen::EndSession end;
    end.session = static_cast<std::int64_t>(session.value());
    // Without a link there is nothing to end: the owner ends all sessions of a lost link.
    [[maybe_unused]] const Status sent = _channels.send(_owner, toMessage(std::move(end)));
}

void RemoteExecutor::onLinkReady() {
    sendPending();
}

void RemoteExecutor::onLinkDown(const std::string& reason) {
    for (auto& [id, session] : _sessions) {
        session.transaction = OpenTransaction::None;
        session.knownToOwner = false;
    }
    // Sinks may submit and end sessions meanwhile; what they submit now has a higher number.
    const WireId firstLater = _nextWireId;
    auto entry = _requests.begin();
    while (entry != _requests.end() && entry->first < firstLater) {
        const WireId wireId = entry->first;
        Request& request = entry->second;
        if (request.end) {
            // The whole answer is here and only its sink is slow.
            request.transactionLost = true;
        } else if (request.unsent && !request.insideTransaction) {
            complete(wireId, notRun(*request.unsent, Refusal::OwnerUnreachable, reason));
        } else {
            complete(wireId, lostAnswer(request, Refusal::ResultInterrupted, reason));
        }
        entry = _requests.upper_bound(wireId);
    }
    std::erase_if(_sessions, [](const auto& item) {
        return item.second.running.empty() && item.second.transaction == OpenTransaction::None;
    });
}

void RemoteExecutor::dropHeldBytes(const Request& request) {
    for (const Delivery& delivery : request.deliveries) {
        _heldBytes -= delivery.bytes.size();
    }
}

ExecutionResult RemoteExecutor::notRun(const contract::ExecutionRequest& request, Refusal refusal,
                                       const std::string& reason) const {
    const std::string detail = "proxy " + _owner.value();
    ExecutionResult result =
        makeFailure(makeError(refusal, reason.empty() ? detail : detail + ": " + reason));
    const auto session = _sessions.find(request.session);
    if (request.transaction && session != _sessions.end()) {
        // The transaction goes on.
        result.transaction = request.transaction;
        result.transactionStatus = session->second.status;
    }
    return result;
}

ExecutionResult RemoteExecutor::lostTransaction(const std::string& reason) const {
    return makeFailure(
        makeError(Refusal::TransactionConnectionLost, "proxy " + _owner.value() + ": " + reason));
}

ExecutionResult RemoteExecutor::lostAnswer(const Request& request, Refusal refusalIfHarmless,
                                           const std::string& reason) const {
    if (request.insideTransaction && (request.unsent || !request.canCommit)) {
        return lostTransaction(reason);
    }
    Refusal refusal = Refusal::TransactionConnectionLost;
    if (request.canCommit) {
        refusal = Refusal::OutcomeUnknown;
    } else if (request.harmless) {
        refusal = refusalIfHarmless;
    }
    ExecutionResult result =
        makeFailure(makeError(refusal, "proxy " + _owner.value() + ": " + reason));
    result.error->routingFailure = contract::RoutingFailure::OwnerUnreachable;
    return result;
}

Status RemoteExecutor::onResponseChunk(gen::ResponseChunk&& chunk) {
    const auto found = _requests.find(chunk.request);
    if (found == _requests.end()) {
        // The request has ended here; a late answer belongs to nobody.
        return Status::ok();
    }
    Request& request = found->second;
    const std::size_t size = chunk.bytes.size();
    if (request.unsent || request.end || request.uncredited + size > _knobs.windowBytes) {
        return {ErrorCode::ProtocolViolation, "response bytes that the window does not allow"};
    }
    if (chunk.stepIndex < 0 || request.fragments.size() + size > kMaximumReassembledBytes) {
        return {ErrorCode::ProtocolViolation, "malformed response chunk"};
    }
    request.uncredited += size;
    if (!chunk.lastFragment) {
        // Parts of one message can't wait for each other, so they are credited as they come.
        request.fragments += chunk.bytes;
        consume(chunk.request, request, size);
        return Status::ok();
    }
    Delivery delivery{static_cast<std::size_t>(chunk.stepIndex), std::move(chunk.bytes),
                      chunk.stepComplete, size};
    if (!request.fragments.empty()) {
        delivery.bytes.insert(0, std::exchange(request.fragments, {}));
    }
    _heldBytes += delivery.bytes.size();
    request.deliveries.push_back(std::move(delivery));
    deliver(chunk.request);
    return Status::ok();
}

Status RemoteExecutor::onExecutionEnd(gen::ExecutionEnd&& end) {
    const WireId wireId = end.request;
    const auto found = _requests.find(wireId);
    if (found == _requests.end()) {
        return Status::ok();
    }
    Request& request = found->second;
    if (request.unsent || request.end || !request.fragments.empty()) {
        return {ErrorCode::ProtocolViolation, "end of a request that can't end now"};
    }
    StatusWith<ExecutionResult> result = fromWire(std::move(end));
    if (!result.isOk()) {
        return result.status();
    }
    request.end = std::move(result).value();
    // The owner has told the outcome; a slow sink may take its time.
    _deadlines.erase({request.deadline, wireId});
    deliver(wireId);
    return Status::ok();
}

void RemoteExecutor::deliver(WireId wireId) {
    while (deliverOne(wireId)) {
    }
    const auto found = _requests.find(wireId);
    if (found == _requests.end() || !found->second.deliveries.empty() || !found->second.end) {
        return;
    }
    complete(wireId, std::move(*found->second.end));
}

bool RemoteExecutor::deliverOne(WireId wireId) {
    auto found = _requests.find(wireId);
    if (found == _requests.end() || found->second.held || found->second.deliveries.empty()) {
        return false;
    }
    Delivery delivery = std::move(found->second.deliveries.front());
    found->second.deliveries.pop_front();
    _heldBytes -= delivery.bytes.size();
    // Set beforehand, so that a resume during the call is not overwritten.
    found->second.held = true;
    const bool wantsMore = found->second.sink->onResponseBytes(
        found->second.id, delivery.stepIndex, std::move(delivery.bytes), delivery.stepComplete);
    // The sink may have ended the request during the call.
    found = _requests.find(wireId);
    if (found == _requests.end()) {
        return false;
    }
    found->second.held = found->second.held && !wantsMore;
    consume(wireId, found->second, delivery.creditable);
    return true;
}

void RemoteExecutor::consume(WireId wireId, Request& request, std::size_t bytes) {
    request.consumed += bytes;
    if (request.end || request.consumed < _knobs.windowBytes / kCreditsPerWindow) {
        return;
    }
    gen::Credit credit;
    credit.request = wireId;
    credit.bytes = static_cast<std::int64_t>(request.consumed);
    // Without a link the request ends by itself.
    [[maybe_unused]] const Status sent = _channels.send(_owner, toMessage(std::move(credit)));
    request.uncredited -= request.consumed;
    request.consumed = 0;
}

void RemoteExecutor::complete(WireId wireId, ExecutionResult result) {
    const Request& request = _requests.at(wireId);
    const RequestId id = request.id;
    contract::ResponseSink& sink = *request.sink;
    Session& session = _sessions.at(request.session);
    session.status = result.transactionStatus;
    session.transaction =
        request.transactionLost ? OpenTransaction::None : contract::openTransactionAfter(result);
    const SessionId sessionId = request.session;
    forget(wireId);
    if (session.running.empty() && session.transaction == OpenTransaction::None) {
        _sessions.erase(sessionId);
    }
    sink.onCompleted(id, std::move(result));
}

void RemoteExecutor::forget(WireId wireId) {
    const auto found = _requests.find(wireId);
    Request& request = found->second;
    dropHeldBytes(request);
    if (request.unsent) {
        --_pendingCount;
    }
    std::erase(_sessions.at(request.session).running, wireId);
    _deadlines.erase({request.deadline, wireId});
    _wireIds.erase(request.id);
    _requests.erase(found);
}

void RemoteExecutor::onTick(TimePoint now) {
    while (!_deadlines.empty() && _deadlines.begin()->first + _knobs.deadlineMargin <= now) {
        expire(_deadlines.begin()->second);
    }
}

void RemoteExecutor::expire(WireId wireId) {
    const Request& request = _requests.at(wireId);
    if (request.unsent) {
        complete(wireId, notRun(*request.unsent, Refusal::DeadlineBeforeRun));
        return;
    }
    // The owner must not go on with a session whose state is no longer known here.
    sendEndSession(request.session);
    _sessions.at(request.session).knownToOwner = false;
    complete(wireId,
             lostAnswer(request, Refusal::StatementTimedOut, "no answer before the deadline"));
}

std::optional<TimePoint> RemoteExecutor::nextTick() const {
    if (_deadlines.empty()) {
        return std::nullopt;
    }
    return _deadlines.begin()->first + _knobs.deadlineMargin;
}

}  // namespace coralhoist::peer
