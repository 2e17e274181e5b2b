#include "link/peer/ForwardingService.h"

#include <algorithm>
#include <utility>

#include "base/Error.h"
#include "contract/Refusals.h"
#include "link/peer/MessageConversion.h"

namespace coralhoist::peer {
namespace {

using contract::makeError;
using contract::makeFailure;
using contract::Refusal;

}  // namespace

ForwardingService::ForwardingService(PeerChannels& channels, const GroupOwnership& ownership,
                                     contract::StatementExecutor& executor, const Clock& clock,
                                     std::uint64_t firstNumber, ForwardingKnobs knobs)
    : _channels(channels),
      _ownership(ownership),
      _executor(executor),
      _clock(clock),
      _knobs(knobs),
      _nextNumber(firstNumber) {}

Status ForwardingService::onExecute(const NodeName& peerName, gen::Execute&& message) {
    const std::int64_t window = message.window;
    if (window <= 0 || window > kMaximumWindowBytes) {
        return {ErrorCode::ProtocolViolation, "bad window " + std::to_string(window)};
    }
    StatusWith<contract::ExecutionRequest> converted = fromWire(std::move(message), _clock.now());
    if (!converted.isOk()) {
        return converted.status();
    }
    contract::ExecutionRequest request = std::move(converted).value();
    Peer& peer = _peers[peerName];
    const auto wireId = static_cast<std::int64_t>(request.id.value());
    if (peer.requests.contains(wireId)) {
        return {ErrorCode::ProtocolViolation, "request number in use"};
    }
    contract::StatementExecutor* executor = chooseExecutor(peerName, request);
    if (executor == nullptr) {
        sendEnd(peerName, wireId, refusal(peer, request));
        return Status::ok();
    }
    accept(peerName, std::move(request), window, *executor);
    return Status::ok();
}

contract::StatementExecutor* ForwardingService::chooseExecutor(
    const NodeName& peerName, const contract::ExecutionRequest& request) const {
    const Peer& peer = _peers.at(peerName);
    if (peer.requests.size() >= _knobs.requestsPerPeerLimit) {
        return nullptr;
    }
    if (request.transaction) {
        // An open transaction is finished where it began, whoever owns the group by now.
        const Session* session = openSession(peer, request);
        return session == nullptr ? nullptr : session->executor;
    }
    if (_ownership.executesFor(request.group)) {
        return &_executor;
    }
    const bool mayRelay = _relay != nullptr &&
                          request.forwardings < static_cast<std::uint32_t>(kMostForwardings) &&
                          _ownership.relaysFor(request.group, peerName);
    return mayRelay ? _relay : nullptr;
}

const ForwardingService::Session* ForwardingService::openSession(
    const Peer& peer, const contract::ExecutionRequest& request) {
    const auto session = peer.sessions.find(static_cast<std::int64_t>(request.session.value()));
    return session != peer.sessions.end() && session->second.transactionOpen ? &session->second
                                                                             : nullptr;
}

contract::ExecutionResult ForwardingService::refusal(
    const Peer& peer, const contract::ExecutionRequest& request) const {
    const Session* session = openSession(peer, request);
    if (request.transaction && session == nullptr) {
        return makeFailure(makeError(Refusal::UnknownTransaction));
    }
    if (peer.requests.size() < _knobs.requestsPerPeerLimit) {
        return makeFailure(makeError(Refusal::NotOwner));
    }
    contract::ExecutionResult full =
        makeFailure(makeError(Refusal::QueueFull, "too many statements of one proxy"));
    if (session != nullptr) {
        full.transaction = request.transaction;
        full.transactionStatus = session->status;
    }
    return full;
}

void ForwardingService::accept(const NodeName& peerName, contract::ExecutionRequest request,
                               std::int64_t window, contract::StatementExecutor& executor) {
    Peer& peer = _peers.at(peerName);
    const RequestId id(_nextNumber++);
    Request& entry = _requests[id];
    entry.peer = peerName;
    entry.executor = &executor;
    entry.wireId = static_cast<std::int64_t>(request.id.value());
    entry.wireSession = static_cast<std::int64_t>(request.session.value());
    entry.window = window;
    peer.requests.emplace(entry.wireId, id);
    const auto [session, isNew] = peer.sessions.try_emplace(entry.wireSession);
    if (isNew) {
        session->second.local = SessionId(_nextNumber++);
    }
    session->second.running.push_back(id);
    session->second.executor = &executor;
    request.id = id;
    request.session = session->second.local;
    executor.submit(std::move(request), *this);
}

Status ForwardingService::onCredit(const NodeName& peerName, const gen::Credit& message) {
    const auto peer = _peers.find(peerName);
    if (message.bytes <= 0 || message.bytes > kMaximumWindowBytes) {
        return {ErrorCode::ProtocolViolation, "bad credit " + std::to_string(message.bytes)};
    }
    if (peer == _peers.end()) {
        return Status::ok();
    }
    const auto found = peer->second.requests.find(message.request);
    if (found == peer->second.requests.end()) {
        // It crossed the end of the request.
        return Status::ok();
    }
    const RequestId id = found->second;
    Request& request = _requests.at(id);
    if (request.window > kMaximumWindowBytes - message.bytes) {
        return {ErrorCode::ProtocolViolation, "credits beyond the largest window"};
    }
    request.window += message.bytes;
    takeTurn(peer->second, id, request);
    sendAndResume(peerName);
    return Status::ok();
}

void ForwardingService::onCancel(const NodeName& peerName, const gen::Cancel& message) {
    const auto peer = _peers.find(peerName);
    if (peer == _peers.end()) {
        return;
    }
    const auto found = peer->second.requests.find(message.request);
    if (found != peer->second.requests.end()) {
        _requests.at(found->second).executor->cancel(found->second);
    }
}

void ForwardingService::onEndSession(const NodeName& peerName, const gen::EndSession& message) {
    const auto peer = _peers.find(peerName);
    if (peer != _peers.end() && peer->second.sessions.contains(message.session)) {
        endSessionLocally(peer->second, message.session);
    }
}

void ForwardingService::endSessionLocally(Peer& peer, std::int64_t wireSession) {
    const Session session = std::move(peer.sessions.at(wireSession));
    peer.sessions.erase(wireSession);
    for (const RequestId id : session.running) {
        const auto request = _requests.find(id);
        for (const Outgoing& outgoing : request->second.outgoing) {
            _heldBytes -= outgoing.bytes.size() - outgoing.offset;
        }
        peer.requests.erase(request->second.wireId);
        _requests.erase(request);
    }
    session.executor->endSession(session.local);
}

void ForwardingService::onLinkDown(const NodeName& peerName) {
    const auto peer = _peers.find(peerName);
    if (peer == _peers.end()) {
        return;
    }
    while (!peer->second.sessions.empty()) {
        endSessionLocally(peer->second, peer->second.sessions.begin()->first);
    }
    _peers.erase(peer);
}

void ForwardingService::onLinkReady(const NodeName& peerName) {
    if (_peers.contains(peerName)) {
        sendAndResume(peerName);
    }
}

bool ForwardingService::usesLink(const NodeName& peerName) const {
    const auto peer = _peers.find(peerName);
    return peer != _peers.end() && !peer->second.sessions.empty();
}

bool ForwardingService::onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                                        bool stepComplete) {
    const auto found = _requests.find(id);
    if (found == _requests.end()) {
        return true;
    }
    Request& request = found->second;
    if (bytes.size() > kMaximumReassembledBytes) {
        request.tooLarge = true;
        bytes.clear();
    }
    _heldBytes += bytes.size();
    request.outgoing.push_back({stepIndex, std::move(bytes), 0, stepComplete});
    Peer& peer = _peers.at(request.peer);
    takeTurn(peer, id, request);
    if (peer.turns.size() == 1 && peer.turns.front() == id) {
        // Nobody else waits. Otherwise the others come first, and may only be resumed from outside
        // of a call of the executor.
        sendInTurns(request.peer, peer);
    }
    request.held = !request.outgoing.empty();
    return !request.held;
}

void ForwardingService::onCompleted(RequestId id, contract::ExecutionResult result) {
    const auto found = _requests.find(id);
    if (found == _requests.end()) {
        return;
    }
    Request& request = found->second;
    if (request.tooLarge && !result.error) {
        result.error = makeError(Refusal::AnswerTooLargeToForward);
    }
    request.end = std::move(result);
    finishIfSent(id);
}

void ForwardingService::takeTurn(Peer& peer, RequestId id, Request& request) {
    if (isSendable(request) && !request.queued) {
        request.queued = true;
        peer.turns.push_back(id);
    }
}

bool ForwardingService::isSendable(const Request& request) {
    return !request.outgoing.empty() &&
           (request.window > 0 || request.outgoing.front().bytes.empty());
}

std::vector<RequestId> ForwardingService::sendInTurns(const NodeName& peerName, Peer& peer) {
    std::vector<RequestId> emptied;
    while (!peer.turns.empty() && _channels.unsentBytes(peerName) <= _knobs.unsentBytesLimit) {
        const RequestId id = peer.turns.front();
        const auto found = _requests.find(id);
        if (found == _requests.end()) {
            peer.turns.pop_front();
            continue;
        }
        Request& request = found->second;
        if (!sendFragment(request)) {
            break;
        }
        peer.turns.pop_front();
        request.queued = false;
        takeTurn(peer, id, request);
        if (request.outgoing.empty()) {
            emptied.push_back(id);
        }
    }
    return emptied;
}

bool ForwardingService::sendFragment(Request& request) {
    Outgoing& outgoing = request.outgoing.front();
    const std::size_t left = outgoing.bytes.size() - outgoing.offset;
    const std::size_t size =
        std::min({left, _knobs.fragmentBytes, static_cast<std::size_t>(request.window)});
    gen::ResponseChunk chunk;
    chunk.request = request.wireId;
    chunk.stepIndex = static_cast<std::int64_t>(outgoing.stepIndex);
    chunk.bytes = outgoing.bytes.substr(outgoing.offset, size);
    chunk.lastFragment = size == left;
    chunk.stepComplete = chunk.lastFragment && outgoing.stepComplete;
    const bool last = chunk.lastFragment;
    if (!_channels.send(request.peer, toMessage(std::move(chunk))).isOk()) {
        // The link is about to be reported down, which ends the request.
        return false;
    }
    _heldBytes -= size;
    request.window -= static_cast<std::int64_t>(size);
    outgoing.offset += size;
    if (last) {
        request.outgoing.pop_front();
    }
    return true;
}

void ForwardingService::sendAndResume(const NodeName& peerName) {
    for (const RequestId id : sendInTurns(peerName, _peers.at(peerName))) {
        // An executor that was resumed before may have changed this one.
        const auto found = _requests.find(id);
        if (found == _requests.end()) {
            continue;
        }
        if (found->second.end) {
            finishIfSent(id);
        } else if (found->second.held && found->second.outgoing.empty()) {
            found->second.held = false;
            found->second.executor->resume(id);
        }
    }
}

void ForwardingService::finishIfSent(RequestId id) {
    const auto found = _requests.find(id);
    Request& request = found->second;
    if (!request.outgoing.empty()) {
        return;
    }
    sendEnd(request.peer, request.wireId, *request.end);
    Peer& peer = _peers.at(request.peer);
    const auto session = peer.sessions.find(request.wireSession);
    std::erase(session->second.running, id);
    session->second.transactionOpen = request.end->transaction.has_value();
    session->second.status = request.end->transactionStatus;
    peer.requests.erase(request.wireId);
    _requests.erase(found);
    if (session->second.running.empty() && !session->second.transactionOpen) {
        const Session ended = std::move(session->second);
        peer.sessions.erase(session);
        if (ended.executor == _relay) {
            // A router remembers sessions until they end; the local executor does not.
            _relay->endSession(ended.local);
        }
    }
}

void ForwardingService::sendEnd(const NodeName& peerName, std::int64_t wireId,
                                const contract::ExecutionResult& result) {
    // Without a link the forwarder has ended the request by itself.
    [[maybe_unused]] const Status sent =
        _channels.send(peerName, toMessage(toWire(wireId, result)));
}

}  // namespace coralhoist::peer
