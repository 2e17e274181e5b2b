/** Serves a simulated server's connections over TCP in the wire format of the users' servers. */
#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <map>
#include <memory>
#include <string>

#include "lab/pooled/LogConnector.h"

namespace coralhoist::soak {

/**
 * One server of a group behind a port. Each TCP connection becomes one connection of a
 * pooled::LogConnector, which runs the statements and lets the judge see them.
 */
class WireServer final : public QObject, public pooling::ServerEvents {
public:
    /** References outlive the server. */
    WireServer(pooled::LogConnector& connector, pooled::PooledJudge& judge,
               const pooled::RequestBook& book, pooled::LogGroup& group, ServerName name);

    ~WireServer() override;

    std::uint16_t port() const { return _server.serverPort(); }

    /** Closes what is open when the simulated server has ended. Called often. */
    void step();

    void onOpened(ConnectionId connection, OpTime position) override;
    void onOpenFailed(ConnectionId connection,
                      const std::optional<pooling::StatementError>& refusal) override;
    void onResult(ConnectionId connection, pooling::StatementResult result) override;
    void onLost(ConnectionId connection) override;

private:
    void accept();
    void read(QTcpSocket* socket);
    void onLine(QTcpSocket* socket, std::string_view line);
    void connectSession(QTcpSocket* socket, std::string_view fields);
    std::optional<pooling::ServerCommand> commandOf(std::string_view fields);
    void closeSocket(QTcpSocket* socket);
    void appendReady(std::string& out, pooling::SessionState state, OpTime position) const;
    void write(ConnectionId connection, const std::string& bytes);

    pooled::LogConnector& _connector;
    pooled::PooledJudge& _judge;
    const pooled::RequestBook& _book;
    pooled::LogGroup& _group;
    ServerName _name;
    QTcpServer _server;
    std::map<QTcpSocket*, std::optional<ConnectionId>> _idOf;
    std::map<ConnectionId, QTcpSocket*> _socketOf;
};

}  // namespace coralhoist::soak
