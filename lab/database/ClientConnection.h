/** One client's TCP connection to a server. */
#pragma once

#include <QObject>
#include <QTcpSocket>
#include <cstdint>
#include <memory>

#include "lab/database/DelayLine.h"
#include "lab/database/Options.h"
#include "lab/database/ProtocolSession.h"
#include "link/pgwire/FrontendMessages.h"
#include "link/pgwire/MessageFramer.h"

namespace coralhoist::lab::database {

class ClientConnection;

/** The listener as its connections see it. */
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;

    /** A start-up message has come; ClientConnection::establish or terminate follows. */
    virtual void requestAdmission(ClientConnection& connection) = 0;
    virtual void cancelStatement(std::int32_t processId, std::int32_t secretKey) = 0;
    /** @return extra time that answers take, by a fault. */
    virtual Duration answerDelay() const = 0;
    virtual const ZoneName& zone() const = 0;
    virtual const ZoneDelays& zoneDelays() const = 0;
    virtual SessionHost& host() = 0;
    /** The socket is closed; the owner deletes the connection in a later turn. */
    virtual void onClosed(ClientConnection& connection) = 0;
};

/**
 * Start-up, framing, link delays and back-pressure of one connection. The client's zone is read off
 * an application_name of the form "coralhoist/ZONE" (anything may follow after another slash); from
 * then on both directions take the one-way delay between the two zones.
 */
class ClientConnection final : public QObject, public ProtocolPeer {
public:
    /** @param socket connected; the connection becomes its parent. */
    ClientConnection(QTcpSocket* socket, ConnectionOwner& owner, std::int32_t processId,
                     std::int32_t secretKey);
    ~ClientConnection() override;

    /** Admission: the session begins. */
    void establish();
    /** Sends a fatal error and closes. */
    void terminate(const SqlError& error);
    /** Holds back or releases everything in both directions. */
    void setFrozen(bool frozen);
    void cancelStatement();

    std::int32_t processId() const { return _processId; }
    std::int32_t secretKey() const { return _secretKey; }
    bool isClosed() const { return _isClosed; }
    bool isEstablished() const { return _session != nullptr; }
    bool isAdmitted() const { return _isAdmitted; }
    void setAdmitted() { _isAdmitted = true; }
    bool hasUnfinishedWrite() const { return _session && _session->hasUnfinishedWrite(); }

    void send(std::string bytes) override;
    bool acceptsWork() const override;
    void onDrained() override;
    void abort() override;
    void finish() override;

private:
    void readSocket();
    void onBytes(const QByteArray& chunk);
    void handleMessages();
    void handleStartupPacket(const QByteArray& payload);
    void begin(const pgwire::StartupMessage& message);
    void sendGreeting();
    void onProtocolViolation(const Status& status);
    void onWritten();
    void close();

    QTcpSocket* _socket;
    ConnectionOwner& _owner;
    std::int32_t _processId;
    std::int32_t _secretKey;
    pgwire::MessageFramer _framer;
    DelayLine _inbound;
    DelayLine _outbound;
    Duration _linkDelay{0};
    SessionVariables _variables;
    std::unique_ptr<ProtocolSession> _session;
    std::optional<TimerId> _admissionTimer;
    bool _hasStarted = false;
    bool _isAdmitted = false;
    bool _isFinishing = false;
    bool _isClosed = false;
};

}  // namespace coralhoist::lab::database
