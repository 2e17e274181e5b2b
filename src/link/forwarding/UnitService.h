/** Executes units of work that other nodes forward to this one, and takes their other questions. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "link/forwarding/QuestionEvents.h"
#include "link/forwarding/UnitCodec.h"
#include "link/socket/StreamConnection.h"
#include "link/socket/StreamListener.h"
#include "pooling/LeadershipProof.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::forwarding {

/**
 * Accepts links and runs each unit as a session of the pooler, which ends with the unit or with the
 * link. Single-threaded; lives on the thread of its poller.
 *
 * Invariants: a unit that is declined has not run; what a lost link leaves open is rolled back.
 */
class UnitService final : public socket::StreamHandler,
                          public pooling::ProofAnswers,
                          public store::FeedAnswers,
                          public tenancy::QuotaResponseSender {
public:
    /** References outlive the service. */
    UnitService(socket::SocketPoller& poller, pooling::StatementPooler& pooler);
    ~UnitService() override;

    Status listen(const std::string& host, std::uint16_t port);

    /** Units are declined before. */
    void startServing() { _serving = true; }

    /** Tells all nodes to go elsewhere with new units; those in flight go on. */
    void beginLeaving();

    /**
     * Passes a reply of the pooler on.
     * @return whether the session belongs to a forwarded unit.
     */
    bool reply(SessionId session, const pooling::StatementResult& result);

    void answerProof(std::uint64_t asker,
                     const std::optional<pooling::HandedProof>& proof) override;

    void answerFeed(std::uint64_t asker, const std::optional<store::FeedAnswer>& answer) override;

    void sendQuotaResponse(std::uint64_t asker, const tenancy::QuotaResponse& answer) override;
    void acknowledgeLedger(std::uint64_t asker, const tenancy::LedgerAck& ack) override;

    /** Passes questions on from now on. All outlive the service's use. */
    void setQuestionEvents(const QuestionEvents& events) { _questionEvents = events; }

    /** @return units that are open. */
    std::size_t unitCount() const { return _units.size(); }
    std::uint16_t port() const { return _listener.port(); }

    /** Frees what has been closed; call from the event loop, outside any event. */
    void collect() { _closed.clear(); }
    bool hasClosed() const { return !_closed.empty(); }

private:
    /** A unit is known by its link and the number that the other node gave it. */
    struct Link {
        std::unique_ptr<socket::StreamConnection> stream;
        std::map<UnitId, SessionId> sessions;
    };
    struct Unit {
        const socket::StreamConnection* link = nullptr;
        UnitId number;
    };
    /** A question is known by its link and the number that the other node gave it. */
    struct Question {
        const socket::StreamConnection* link = nullptr;
        std::uint64_t number = 0;
    };

    void accept(int descriptor);
    void onConnected(socket::StreamConnection& connection) override;
    void onBytes(socket::StreamConnection& connection, std::string& buffer) override;
    void onClosed(socket::StreamConnection& connection) override;
    void onMessage(Link& link, UnitMessage message);
    void onRequest(Link& link, UnitMessage message);
    std::uint64_t noteQuestion(const Link& link, const UnitMessage& message);
    void onProofAsked(const Link& link, const UnitMessage& message);
    void onChangesAsked(const Link& link, const UnitMessage& message);
    void onQuotaRequest(const Link& link, const UnitMessage& message);
    void onLedgerUpdate(const Link& link, const UnitMessage& message);
    void answerQuestion(std::uint64_t asker, UnitMessage answer);
    void decline(Link& link, UnitId unit);
    void endUnit(Link& link, UnitId unit);
    void drop(const socket::StreamConnection& connection);
    Link* find(const socket::StreamConnection* connection);

    socket::SocketPoller& _poller;
    pooling::StatementPooler& _pooler;
    socket::StreamListener _listener;
    bool _serving = false;
    std::map<const socket::StreamConnection*, Link> _links;
    std::map<SessionId, Unit> _units;
    QuestionEvents _questionEvents;
    std::map<std::uint64_t, Question> _questions;
    std::uint64_t _lastQuestion = 0;
    std::vector<std::unique_ptr<socket::StreamConnection>> _closed;
};

}  // namespace coralhoist::forwarding
