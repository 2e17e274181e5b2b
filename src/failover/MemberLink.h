/** One administrative connection to a server: status queries and orders, with timeouts. */
#pragma once

#include <deque>
#include <optional>

#include "base/Time.h"
#include "failover/PromotionRecord.h"
#include "pooling/ServerLink.h"

namespace coralhoist::failover {

/** A server's last response to a command. */
struct MemberResponse {
    ServerReport report;
    /** When the command was sent. */
    TimePoint requestedAt{};
    /** When the response arrived. */
    TimePoint respondedAt{};
};

/**
 * Opens a connection when it is first needed, reopens it when it breaks, and keeps the newest
 * responses. Performs no I/O except through the connector.
 */
class MemberLink final : public pooling::ServerEvents {
public:
    /** References must outlive the link. */
    MemberLink(pooling::ServerAddress address, const Clock& clock,
               pooling::ServerConnector& connector, const ReportParser& parser);
    ~MemberLink() override;
    MemberLink(const MemberLink&) = delete;
    MemberLink& operator=(const MemberLink&) = delete;

    /** Queries the server's status unless an earlier query is unanswered. */
    void queryStatus();

    /**
     * Sends an order unless an earlier order of the same kind is unanswered; one that waits for the
     * connection is replaced. Servers can't tell a late order from a present one in every case, so
     * it is not sent, and not sent again, at `sendBy` or later.
     */
    void order(pooling::ServerCommand::Kind kind, Term term, TimePoint sendBy);

    /** Opens a missing connection and drops a connection whose opening or response times out. */
    void onTick(TimePoint now);

    /** @return the newest report in response to any command. */
    const std::optional<MemberResponse>& report() const { return _report; }
    /** @return the response to the order that makes a replica stop receiving. */
    const std::optional<MemberResponse>& paused() const { return _paused; }

    /** @return when the server last responded in any way, including a refusal. */
    std::optional<TimePoint> lastResponseAt() const { return _lastResponseAt; }

    /**
     * @return whether the server has not responded for this time, counted from the creation of the
     * link at the earliest.
     */
    bool isSilentFor(Duration time, TimePoint now) const;

    /** @return whether the last attempt to connect failed without an error response of the server.
     */
    bool isRefused() const { return _refused; }

    /** @return since when every attempt to connect has failed in that way, if the last one did. */
    std::optional<TimePoint> refusedSince() const { return _refusedSince; }

    /** @return whether another server responded at the address, so that this server has ended. */
    bool isReplaced() const { return _replaced; }

    const pooling::ServerAddress& address() const { return _address; }

private:
    void onOpened(ConnectionId connection, OpTime position) override;
    void onOpenFailed(ConnectionId connection,
                      const std::optional<pooling::StatementError>& refusal) override;
    void onResult(ConnectionId connection, pooling::StatementResult result) override;
    void onLost(ConnectionId connection) override;

    struct PendingCommand {
        pooling::ServerCommand::Kind kind = pooling::ServerCommand::Kind::Status;
        Term term = 0;
        TimePoint requestedAt{};
        /** The command is not sent at this time or later. */
        TimePoint sendBy = TimePoint::max();
    };

    void request(const PendingCommand& command);
    void dropExpired(TimePoint now);
    void drop();
    void open(TimePoint now);
    void transmit(const PendingCommand& pending);
    void note(const PendingCommand& pending, const ServerReport& report);

    pooling::ServerAddress _address;
    const Clock& _clock;
    pooling::ServerConnector& _connector;
    const ReportParser& _parser;
    std::optional<ConnectionId> _connection;
    bool _opened = false;
    bool _refused = false;
    std::optional<TimePoint> _refusedSince;
    bool _replaced = false;
    TimePoint _createdAt{};
    Duration _responseTimeout;
    TimePoint _attemptedAt{};
    TimePoint _nextAttempt{};
    std::optional<TimePoint> _lastResponseAt;
    std::deque<PendingCommand> _unsent;
    std::deque<PendingCommand> _sent;
    std::optional<MemberResponse> _report;
    std::optional<MemberResponse> _paused;
};

}  // namespace coralhoist::failover
