/** Serves a simulated server's connections over TCP in the wire format of the users' servers. */
#pragma once

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "lab/pooled/LogConnector.h"
#include "lab/soak/QuotaJudge.h"
#include "lab/soak/ServerSlots.h"

namespace coralhoist::soak {

/**
 * One server of a group behind a port. Each TCP connection becomes one connection of a
 * pooled::LogConnector, which runs the statements and lets the judge see them. Reads, writes,
 * commits, status questions, orders and new connections need one of the server's slots.
 */
class WireServer final : public QObject, public pooling::ServerEvents {
public:
    /** References outlive the server. */
    WireServer(pooled::LogConnector& connector, RandomSource& random, pooled::PooledJudge& judge,
               const pooled::RequestBook& book, pooled::LogGroup& group, ServerName name);

    ~WireServer() override;

    std::uint16_t port() const { return _server.serverPort(); }
    const ServerName& name() const { return _name; }
    ServerSlots& slots() { return _slots; }

    /** Judges tenants' quotas from now on. */
    void setQuotaJudge(QuotaJudge& quotas) { _quotas = &quotas; }

    /** Calls it for each statement of a caller that arrives. */
    void setOnStatement(std::function<void()> onStatement) {
        _onStatement = std::move(onStatement);
    }

    /** Closes what is open when the simulated server has ended. Called often. */
    void step();

    void onOpened(ConnectionId connection, OpTime position) override;
    void onOpenFailed(ConnectionId connection,
                      const std::optional<pooling::StatementError>& refusal) override;
    void onResult(ConnectionId connection, pooling::StatementResult result) override;
    void onLost(ConnectionId connection) override;

private:
    /** One TCP connection. */
    struct Session {
        /** Set once the session has said which group it wants. */
        std::optional<ConnectionId> id;
        std::deque<pooling::ServerCommand> commands;
        bool running = false;
        /** Number of the slot use in progress; 0 when the session holds no slot. */
        std::uint64_t slotUse = 0;
        /** Whether the extra time of the command passes after it has run. */
        bool answersLate = false;
        pooling::SessionState state = pooling::SessionState::Idle;
        OpTime position;
    };

    void accept();
    void read(QTcpSocket* socket);
    void onLine(QTcpSocket* socket, std::string_view line);
    void connectSession(QTcpSocket* socket, std::string_view fields);
    void openSession(QTcpSocket* socket, const TenantName& tenant);
    void refuseSession(QTcpSocket* socket, std::string_view word);
    std::optional<pooling::ServerCommand> commandOf(std::string_view fields);
    void runNext(ConnectionId connection);
    void execute(ConnectionId connection, const pooling::ServerCommand& command);
    void runInSlot(ConnectionId connection, const pooling::ServerCommand& command);
    void refuseAsBusy(ConnectionId connection);
    void deliver(ConnectionId connection, const pooling::StatementResult& result);
    void releaseSlot(Session& session);
    std::chrono::milliseconds drawDelay();
    Session* sessionOf(ConnectionId connection);
    void closeSocket(QTcpSocket* socket);
    void appendReady(std::string& out, pooling::SessionState state, OpTime position) const;
    void appendReport(std::string& out, std::string_view row) const;
    void write(ConnectionId connection, const std::string& bytes);

    pooled::LogConnector& _connector;
    RandomSource& _random;
    pooled::PooledJudge& _judge;
    const pooled::RequestBook& _book;
    pooled::LogGroup& _group;
    ServerName _name;
    QTcpServer _server;
    ServerSlots _slots;
    QuotaJudge* _quotas = nullptr;
    std::function<void()> _onStatement;
    std::uint64_t _lastSlotUse = 0;
    std::map<QTcpSocket*, Session> _sessions;
    std::map<ConnectionId, QTcpSocket*> _socketOf;
};

}  // namespace coralhoist::soak
