/** One administrative connection to a server: status queries and orders, with time limits. */
#pragma once

#include <deque>
#include <optional>

#include "base/Time.h"
#include "failover/PromotionRecord.h"
#include "pooling/ServerLink.h"

namespace coralhoist::failover {

/** What a server answered last to a command. */
struct MemberAnswer {
    ServerReport report;
    /** When the command was sent. */
    TimePoint askedAt{};
    /** When the answer arrived. */
    TimePoint answeredAt{};
};

/**
 * Opens a connection when it is first needed, opens it again when it breaks, and keeps the newest
 * answers. Pure but for the connector.
 */
class MemberLink final : public pooling::ServerEvents {
public:
    /** References outlive the link. */
    MemberLink(pooling::ServerAddress address, const Clock& clock,
               pooling::ServerConnector& connector, const ReportParser& parser);
    ~MemberLink() override;
    MemberLink(const MemberLink&) = delete;
    MemberLink& operator=(const MemberLink&) = delete;

    /** Sends the command unless an earlier one of the kind is unanswered. */
    void request(pooling::ServerCommand::Kind kind, Term term = 0);

    /** Opens what is missing and gives up on what takes too long. */
    void onTick(TimePoint now);

    /** @return the newest report in answer to any command. */
    const std::optional<MemberAnswer>& report() const { return _report; }
    /** @return the answer to the order that makes a replica stop receiving. */
    const std::optional<MemberAnswer>& paused() const { return _paused; }

    /** @return when the server last said anything, be it a refusal. */
    std::optional<TimePoint> heardAt() const { return _heardAt; }

    /** @return whether it has not been heard for so long since the link was made. */
    bool isSilentFor(Duration time, TimePoint now) const;

    /** @return whether the last attempt to connect was turned away at once. */
    bool isRefused() const { return _refused; }

    /** @return whether another server answered at the address: this one has ended. */
    bool isReplaced() const { return _replaced; }

    const pooling::ServerAddress& address() const { return _address; }

private:
    void onOpened(ConnectionId connection, OpTime position) override;
    void onOpenFailed(ConnectionId connection,
                      const std::optional<pooling::StatementError>& refusal) override;
    void onResult(ConnectionId connection, pooling::StatementResult result) override;
    void onLost(ConnectionId connection) override;

    struct Awaited {
        pooling::ServerCommand::Kind kind = pooling::ServerCommand::Kind::Status;
        Term term = 0;
        TimePoint askedAt{};
    };

    void drop();
    void open(TimePoint now);
    void transmit(const Awaited& awaited);
    void note(const Awaited& awaited, const ServerReport& report);

    pooling::ServerAddress _address;
    const Clock& _clock;
    pooling::ServerConnector& _connector;
    const ReportParser& _parser;
    std::optional<ConnectionId> _connection;
    bool _opened = false;
    bool _refused = false;
    bool _replaced = false;
    TimePoint _createdAt{};
    Duration _answerPatience;
    TimePoint _attemptedAt{};
    TimePoint _nextAttempt{};
    std::optional<TimePoint> _heardAt;
    std::deque<Awaited> _waiting;
    std::deque<Awaited> _sent;
    std::optional<MemberAnswer> _report;
    std::optional<MemberAnswer> _paused;
};

}  // namespace coralhoist::failover
