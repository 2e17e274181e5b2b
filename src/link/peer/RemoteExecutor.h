/** Executes batches on another proxy, over the peer link to it. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/BatchEffects.h"
#include "contract/Execution.h"
#include "contract/Refusals.h"
#include "link/peer/LinkKnobs.h"
#include "link/peer/PeerChannels.h"

namespace coralhoist::peer {

/**
 * The forwarder's end of forwarded execution; one object for each owner.
 *
 * Invariants: an answer reaches the request whose number on the wire it carries, or nobody. A batch
 * is reported as not run only if it was never handed to the link or the owner said so. A request
 * holds at most one window of undelivered bytes. Single-threaded; reads no clock but the given one.
 */
class RemoteExecutor final : public contract::StatementExecutor {
public:
    /** @param owner the other proxy. @param channels, clock outlive the executor. */
    RemoteExecutor(NodeName owner, PeerChannels& channels, const Clock& clock,
                   ForwardingKnobs knobs = {});

    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

    /** The link to the owner is up, or has room again: sends what waits. */
    void onLinkReady();

    /** The link is lost or can't be opened: all requests end, all transactions are lost. */
    void onLinkDown(const std::string& reason);

    /** @return ProtocolViolation when the owner broke the flow control. */
    Status onResponseChunk(gen::ResponseChunk&& chunk);

    /** @return ProtocolViolation for an end that can't be understood. */
    Status onExecutionEnd(gen::ExecutionEnd&& end);

    /** Ends the requests whose deadline has passed. */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; nothing when no request runs. */
    std::optional<TimePoint> nextTick() const;

    /** @return whether a request or a transaction depends on the link. */
    bool usesLink() const { return !_sessions.empty(); }

    /** @return bytes of responses held for slow sinks; for statistics. */
    std::size_t heldBytes() const { return _heldBytes; }

private:
    using WireId = std::int64_t;

    /** A part of a response that waits for its sink. */
    struct Delivery {
        std::size_t stepIndex = 0;
        std::string bytes;
        bool stepComplete = false;
        /** Bytes that are credited when the sink has taken it. */
        std::size_t creditable = 0;
    };

    struct Request {
        RequestId id;
        SessionId session;
        contract::ResponseSink* sink = nullptr;
        TimePoint deadline;
        /** The batch, until it is handed to the link. */
        std::optional<contract::ExecutionRequest> unsent;
        /** What a lost answer means. */
        bool insideTransaction = false;
        bool harmless = false;
        bool canCommit = false;
        /** The sink asked for a pause. */
        bool held = false;
        std::deque<Delivery> deliveries;
        std::string fragments;
        /** Bytes received and not yet credited. */
        std::size_t uncredited = 0;
        /** Bytes that may be credited. */
        std::size_t consumed = 0;
        std::optional<contract::ExecutionResult> end;
        /** The link was lost after the end came, and with it what the end left open. */
        bool transactionLost = false;
    };

    /** A session with a request or a transaction at the owner. */
    struct Session {
        std::vector<WireId> running;
        contract::OpenTransaction transaction = contract::OpenTransaction::None;
        contract::TransactionStatus status = contract::TransactionStatus::Idle;
        bool knownToOwner = false;
    };

    void enqueue(contract::ExecutionRequest request, contract::ResponseSink& sink);
    Request describe(contract::ExecutionRequest request, contract::ResponseSink& sink);
    void sendPending();
    bool sendOne(WireId wireId, Request& request);
    void deliver(WireId wireId);
    bool deliverOne(WireId wireId);
    void consume(WireId wireId, Request& request, std::size_t bytes);
    void complete(WireId wireId, contract::ExecutionResult result);
    void forget(WireId wireId);
    void expire(WireId wireId);
    void sendEndSession(SessionId session);
    void dropHeldBytes(const Request& request);
    contract::ExecutionResult notRun(const contract::ExecutionRequest& request,
                                     contract::Refusal refusal,
                                     const std::string& reason = {}) const;
    contract::ExecutionResult lostTransaction(const std::string& reason) const;
    contract::ExecutionResult lostAnswer(const Request& request,
                                         contract::Refusal refusalIfHarmless,
                                         const std::string& reason) const;

    NodeName _owner;
    PeerChannels& _channels;
    const Clock& _clock;
    ForwardingKnobs _knobs;
    WireId _nextWireId = 1;
    std::map<WireId, Request> _requests;
    std::unordered_map<RequestId, WireId> _wireIds;
    std::unordered_map<SessionId, Session> _sessions;
    /** Requests not handed to the link, oldest first; may name requests that have ended. */
    std::deque<WireId> _pending;
    std::size_t _pendingCount = 0;
    std::set<std::pair<TimePoint, WireId>> _deadlines;
    std::size_t _heldBytes = 0;
};

}  // namespace coralhoist::peer
