#include "lab/experiment/LinkExecutor.h"

#include <algorithm>
#include <utility>

#include "contract/Refusals.h"

namespace coralhoist::experiment {

using contract::ExecutionRequest;
using contract::ExecutionResult;
using contract::Refusal;

bool LinkExecutor::Relay::onResponseBytes(RequestId wireId, std::size_t stepIndex,
                                          std::string bytes, bool stepComplete) {
    link->sendBack(wireId, [stepIndex, stepComplete, held = std::move(bytes)](Relay& relay) {
        relay.sink->onResponseBytes(relay.id, stepIndex, held, stepComplete);
    });
    return true;
}

void LinkExecutor::Relay::onCompleted(RequestId wireId, ExecutionResult result) {
    link->complete(wireId, std::move(result));
}

void LinkExecutor::complete(RequestId wireId, ExecutionResult result) {
    sendBack(wireId, [this, wireId, held = std::move(result)](Relay&) {
        const std::unique_ptr<Relay> relay = std::move(_relays.at(wireId));
        _relays.erase(wireId);
        relay->sink->onCompleted(relay->id, held);
    });
}

void LinkExecutor::send(std::function<void()> action) {
    _queue.after(_ends.delay, std::move(action));
}

void LinkExecutor::sendBack(RequestId wireId, std::function<void(Relay&)> action) {
    _queue.after(_ends.delay, [this, wireId, held = std::move(action)] {
        if (_relays.contains(wireId)) {
            _ends.callBack([this, wireId, &held] { held(*_relays.at(wireId)); });
        }
    });
}

SessionId LinkExecutor::wireSession(SessionId session) {
    SessionId& wire = _wireSessions[session];
    if (wire == SessionId()) {
        wire = SessionId(++_numbers.lastSession);
    }
    return wire;
}

void LinkExecutor::submit(ExecutionRequest request, contract::ResponseSink& sink) {
    auto relay = std::make_unique<Relay>();
    relay->link = this;
    relay->id = request.id;
    relay->session = request.session;
    relay->changesData = request.batch.steps.front().kind != contract::StatementKind::Read;
    relay->sink = &sink;
    const RequestId wireId(++_numbers.lastRequest);
    request.id = wireId;
    request.session = wireSession(request.session);
    Relay& target = *relay;
    _relays.emplace(wireId, std::move(relay));
    send([this, wireId, &target, held = std::move(request)] {
        simulation::SimulatedProxy* proxy = _ends.target();
        if (proxy == nullptr || !proxy->isAlive()) {
            const Refusal reason = proxy == nullptr ? Refusal::NotOwner : Refusal::OwnerUnreachable;
            complete(wireId, contract::makeFailure(contract::makeError(reason)));
            return;
        }
        proxy->call([proxy, &target, held] { proxy->executor().submit(held, target); });
    });
}

void LinkExecutor::endSession(SessionId session) {
    const auto known = _wireSessions.find(session);
    if (known == _wireSessions.end()) {
        return;
    }
    const SessionId wire = known->second;
    _wireSessions.erase(known);
    for (auto entry = _relays.begin(); entry != _relays.end();) {
        if (entry->second->session == session) {
            _retired.push_back(std::move(entry->second));
            entry = _relays.erase(entry);
        } else {
            ++entry;
        }
    }
    send([this, wire] {
        if (simulation::SimulatedProxy* proxy = _ends.target()) {
            proxy->call([proxy, wire] { proxy->executor().endSession(wire); });
        }
    });
}

void LinkExecutor::onTargetDied() {
    for (const auto& [wireId, relay] : _relays) {
        ExecutionResult result = contract::makeFailure(contract::makeError(
            relay->changesData ? Refusal::OutcomeUnknown : Refusal::OwnerUnreachable));
        result.error->routingFailure = contract::RoutingFailure::OwnerUnreachable;
        complete(wireId, std::move(result));
    }
}

}  // namespace coralhoist::experiment
