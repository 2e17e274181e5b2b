/** Executes batches that other proxies forward to this one. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/Execution.h"
#include "link/peer/LinkKnobs.h"
#include "link/peer/PeerChannels.h"

namespace coralhoist::peer {

/** Knows which groups this node executes for. */
class GroupOwnership {
public:
    virtual ~GroupOwnership() = default;

    /** @return whether new work for the group is executed here: false also while leaving. */
    virtual bool executesFor(const GroupName& group) const = 0;

    /**
     * Asked when this node does not execute for the group.
     * @return whether it hands the forwarder's work on to an owner: for forwarders of other
     * regions, which do not know the owners.
     */
    virtual bool relaysFor(const GroupName& /*group*/, const NodeName& /*forwarder*/) const {
        return false;
    }
};

/**
 * The owner's end of forwarded execution, for all forwarders.
 *
 * Invariants: sessions of different peers never share a local session. A peer's sessions end with
 * its link. A request has at most its window of bytes on the way; what its local executor hands
 * over beyond is held here until credits come, and the executor is held back. Responses take turns
 * on a link, one fragment each. Single-threaded.
 */
class ForwardingService final : private contract::ResponseSink {
public:
    /**
     * @param channels, ownership, executor, clock outlive the service.
     * @param firstNumber local session and request numbers count from here, so that they differ
     * from those of other users of the executor.
     */
    ForwardingService(PeerChannels& channels, const GroupOwnership& ownership,
                      contract::StatementExecutor& executor, const Clock& clock,
                      std::uint64_t firstNumber, ForwardingKnobs knobs = {});

    /** Sets who hands on the work that this node relays; it outlives the service. */
    void setRelay(contract::StatementExecutor& relay) { _relay = &relay; }

    /** @return ProtocolViolation for a message that can't be understood. */
    Status onExecute(const NodeName& peer, gen::Execute&& message);
    Status onCredit(const NodeName& peer, const gen::Credit& message);
    void onCancel(const NodeName& peer, const gen::Cancel& message);
    void onEndSession(const NodeName& peer, const gen::EndSession& message);

    /** All sessions of the peer end; their transactions are rolled back. */
    void onLinkDown(const NodeName& peer);

    /** The link to the peer has room again. */
    void onLinkReady(const NodeName& peer);

    /** @return whether a request or a transaction of the peer is here. */
    bool usesLink(const NodeName& peer) const;

    /** @return bytes of responses held for want of credits or room; for statistics. */
    std::size_t heldBytes() const { return _heldBytes; }

private:
    /** A part of a response that waits to be sent. */
    struct Outgoing {
        std::size_t stepIndex = 0;
        std::string bytes;
        /** Bytes that have been sent in earlier fragments. */
        std::size_t offset = 0;
        bool stepComplete = false;
    };

    struct Request {
        NodeName peer;
        /** Who runs it: the local executor or the relay. */
        contract::StatementExecutor* executor = nullptr;
        std::int64_t wireId = 0;
        std::int64_t wireSession = 0;
        /** Bytes that may be sent. */
        std::int64_t window = 0;
        std::deque<Outgoing> outgoing;
        std::optional<contract::ExecutionResult> end;
        /** In its peer's turn queue. */
        bool queued = false;
        /** The local executor was told to stop. */
        bool held = false;
        /** A part of the response was dropped because no forwarder takes so much at once. */
        bool tooLarge = false;
    };

    struct Session {
        SessionId local;
        /** Where its last batch went; an open transaction stays there. */
        contract::StatementExecutor* executor = nullptr;
        std::vector<RequestId> running;
        bool transactionOpen = false;
        contract::TransactionStatus status = contract::TransactionStatus::Idle;
    };

    struct Peer {
        std::map<std::int64_t, Session> sessions;
        std::unordered_map<std::int64_t, RequestId> requests;
        /** Requests that have something to send and a window to do so. */
        std::deque<RequestId> turns;
    };

    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, contract::ExecutionResult result) override;

    contract::StatementExecutor* chooseExecutor(const NodeName& peerName,
                                                const contract::ExecutionRequest& request) const;
    static const Session* openSession(const Peer& peer, const contract::ExecutionRequest& request);
    contract::ExecutionResult refusal(const Peer& peer,
                                      const contract::ExecutionRequest& request) const;
    void accept(const NodeName& peerName, contract::ExecutionRequest request, std::int64_t window,
                contract::StatementExecutor& executor);
    void endSessionLocally(Peer& peer, std::int64_t wireSession);
    static void takeTurn(Peer& peer, RequestId id, Request& request);
    static bool isSendable(const Request& request);
    std::vector<RequestId> sendInTurns(const NodeName& peerName, Peer& peer);
    bool sendFragment(Request& request);
    void sendAndResume(const NodeName& peerName);
    void sendEnd(const NodeName& peerName, std::int64_t wireId,
                 const contract::ExecutionResult& result);
    void finishIfSent(RequestId id);

    PeerChannels& _channels;
    const GroupOwnership& _ownership;
    contract::StatementExecutor& _executor;
    contract::StatementExecutor* _relay = nullptr;
    const Clock& _clock;
    ForwardingKnobs _knobs;
    std::uint64_t _nextNumber;
    std::map<NodeName, Peer> _peers;
    std::unordered_map<RequestId, Request> _requests;
    std::size_t _heldBytes = 0;
};

}  // namespace coralhoist::peer
