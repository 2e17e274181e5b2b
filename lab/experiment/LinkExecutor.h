/** Requests of one proxy that another proxy executes, with the delay of the link between them. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "contract/Execution.h"
#include "lab/contract/SimulatedProxy.h"
#include "lab/simulation/EventQueue.h"

namespace coralhoist::experiment {

/** Numbers that are unique in a run; owners see requests of many proxies. */
struct WireNumbers {
    std::uint64_t lastRequest = 0;
    std::uint64_t lastSession = 0;
};

/** One end of a link as its proxy sees it. */
struct LinkEnds {
    /** One way. */
    Duration delay{0};
    /** @return the executor's process; null when that node does not execute for the group. */
    std::function<simulation::SimulatedProxy*()> target;
    /** Runs an action in the caller's proxy, unless that is dead. */
    std::function<void(const std::function<void()>&)> callBack;
};

/**
 * Stands for the link between a proxy and the executor of a group, on the same or another node.
 * What a dead owner had in hand is answered as the peer link answers it: what may have taken effect
 * as unknown, the rest as unreachable.
 */
class LinkExecutor final : public contract::StatementExecutor {
public:
    /** @param numbers outlive the object, as does queue. */
    LinkExecutor(LinkEnds ends, simulation::EventQueue& queue, WireNumbers& numbers)
        : _ends(std::move(ends)), _queue(queue), _numbers(numbers) {}

    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink) override;
    void resume(RequestId /*id*/) override {}
    void cancel(RequestId /*id*/) override {}
    void endSession(SessionId session) override;

    /** The process at the other end has died. */
    void onTargetDied();

private:
    /** One request on its way; receives the owner's answer. */
    struct Relay final : contract::ResponseSink {
        LinkExecutor* link = nullptr;
        RequestId id;
        SessionId session;
        bool changesData = false;
        contract::ResponseSink* sink = nullptr;

        bool onResponseBytes(RequestId wireId, std::size_t stepIndex, std::string bytes,
                             bool stepComplete) override;
        void onCompleted(RequestId wireId, contract::ExecutionResult result) override;
    };

    void send(std::function<void()> action);
    void sendBack(RequestId wireId, std::function<void(Relay&)> action);
    void complete(RequestId wireId, contract::ExecutionResult result);
    SessionId wireSession(SessionId session);

    LinkEnds _ends;
    simulation::EventQueue& _queue;
    WireNumbers& _numbers;
    std::map<RequestId, std::unique_ptr<Relay>> _relays;
    std::map<SessionId, SessionId> _wireSessions;
    /** Relays whose session ended: the owner may still hold them for a moment. */
    std::vector<std::unique_ptr<Relay>> _retired;
};

}  // namespace coralhoist::experiment
