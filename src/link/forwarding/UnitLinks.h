/** Links to the nodes that execute units of work for this one. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "link/forwarding/QuestionEvents.h"
#include "link/forwarding/UnitCodec.h"
#include "link/socket/StreamConnection.h"
#include "locality/RegionWatch.h"
#include "pooling/ExecutorPlacement.h"
#include "pooling/LeadershipProof.h"
#include "pooling/LoadReport.h"
#include "pooling/UnitForwarding.h"

namespace coralhoist::forwarding {

/**
 * Implements UnitForwarder over one TCP connection to each node that is needed. Single-threaded;
 * lives on the thread of its poller.
 *
 * Invariants: a unit is sent over one connection and never again; each unit that was opened and not
 * ended gets its results, or one onUnitLost. NotTaken is reported only when no byte of the unit
 * left this process, or when the other node says so.
 */
class UnitLinks final : public pooling::UnitForwarder,
                        public pooling::ProofQuestions,
                        public store::FeedQuestions,
                        public tenancy::QuotaRequestSender,
                        public pooling::LoadReporter,
                        public socket::StreamHandler {
public:
    /** References outlive the links. */
    UnitLinks(socket::SocketPoller& poller, const Clock& clock, pooling::UnitEvents& events);
    ~UnitLinks() override;

    /** Tells what passes to other regions from now on; called before nodes are known. @param watch
     * outlives the links. */
    void setRegionWatch(locality::RegionWatch& watch) { _regions = &watch; }

    /** Takes the nodes and their addresses. Links to nodes that moved or left are dropped. */
    void applyNodes(const std::vector<pooling::ProxyNode>& nodes);

    bool canReach(const NodeName& node) const override;
    void open(UnitId unit, const NodeName& node, const pooling::UnitOpening& opening,
              const pooling::UnitStatement& statement) override;
    void submit(UnitId unit, const pooling::UnitStatement& statement) override;
    void end(UnitId unit) override;
    void askForProof(const NodeName& node, std::uint64_t question,
                     const pooling::ProofNeed& need) override;

    void askForChanges(const NodeName& node, std::uint64_t question,
                       const store::FeedQuestion& asked) override;

    void sendQuotaRequest(const NodeName& node, std::uint64_t question,
                          const tenancy::QuotaRequest& asked) override;

    void updateLedger(const NodeName& node, std::uint64_t question,
                      const tenancy::LedgerUpdate& update) override;

    /** A node whose link was lost, or does not take what was sent before, is told nothing. */
    void sendLoadReport(const NodeName& node, const pooling::LoadReport& report) override;

    /** Passes answers to questions on from now on. All outlive the links' use. */
    void setQuestionEvents(const QuestionEvents& events) { _questionEvents = events; }

    /** Asks for signs of life and gives up links that show none. */
    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** Frees what has been closed; call from the event loop, outside any event. */
    void collect() { _closed.clear(); }
    bool hasClosed() const { return !_closed.empty(); }

private:
    struct Link {
        pooling::ProxyNode node;
        std::unique_ptr<socket::StreamConnection> stream;
        bool connected = false;
        /** The node stands in another region. */
        bool leavesRegion = false;
        /** The other node takes no new units on this connection. */
        bool leaving = false;
        /** Units that are open; true while a statement of the unit is unanswered. */
        std::map<UnitId, bool> units;
        std::size_t unanswered = 0;
        /** Question for a proof that is not answered; an older one is no longer waited for. */
        std::optional<std::uint64_t> proofQuestion;
        /** The same for changes of the store. It may wait long, so no sign of life is asked for. */
        std::optional<std::uint64_t> feedQuestion;
        TimePoint feedAskedAt{};
        /** Questions for units of quotas that are not answered, and updates of ledgers. */
        std::set<std::uint64_t> quotaQuestions;
        std::set<std::uint64_t> ledgerUpdates;
        /** When the connection was begun, or the first of the unanswered statements was sent. */
        TimePoint waitingSince{};
        TimePoint heardAt{};
        TimePoint askedAt{};
        /** Not connected to again, or not given new units, before. */
        TimePoint usableFrom{};
        Duration pause{0};
    };

    void onConnected(socket::StreamConnection& connection) override;
    void onBytes(socket::StreamConnection& connection, std::string& buffer) override;
    void onClosed(socket::StreamConnection& connection) override;
    void onMessage(Link& link, UnitMessage message);
    void connect(Link& link);
    void retryFailed(TimePoint now);
    void send(Link& link, const UnitMessage& message);
    void noteRoundTrip(const Link& link, TimePoint begunAt);
    void noteWaiting(Link& link);
    void noteSent(Link& link, UnitId unit);
    void noteAnswered(Link& link, UnitId unit);
    void onAnswer(Link& link, UnitMessage message);
    void onDeclined(Link& link, UnitId unit);
    void onProof(Link& link, const UnitMessage& message);
    void onChanges(Link& link, const UnitMessage& message);
    void onQuota(Link& link, const UnitMessage& message);
    void onLedgerAck(Link& link, const UnitMessage& message);
    static bool isWaitedFor(const Link& link);
    static bool isSilent(const Link& link, TimePoint now);
    void loseQuestions(const Link& link);
    Link& connectedLink(const NodeName& node);
    void forget(Link& link, UnitId unit);
    void drop(Link& link, const char* reason);
    std::optional<TimePoint> dueAt(const Link& link) const;
    Link* linkOf(const socket::StreamConnection& connection);
    Link* linkOf(UnitId unit);

    socket::SocketPoller& _poller;
    const Clock& _clock;
    pooling::UnitEvents& _events;
    QuestionEvents _questionEvents;
    /** Null where there is one region. */
    locality::RegionWatch* _regions = nullptr;
    std::map<NodeName, Link> _links;
    std::map<const socket::StreamConnection*, NodeName> _nodeOf;
    std::map<UnitId, NodeName> _units;
    /** Nodes whose last connection was lost: nothing is sent before a new one has opened. */
    std::set<NodeName> _failed;
    std::vector<std::unique_ptr<socket::StreamConnection>> _closed;
};

}  // namespace coralhoist::forwarding
