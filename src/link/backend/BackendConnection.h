/** One connection to a database server. */
#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "contract/BackendConnector.h"
#include "link/backend/ConnectionOpener.h"
#include "link/backend/ProgramRunner.h"
#include "link/backend/SocketWatch.h"

namespace coralhoist::backend {

/**
 * The life of a connection: opening, then idle and running in turn, then ended. All events come
 * from the event loop, never from within a call.
 */
class BackendConnection final : public QObject {
public:
    /**
     * @param onEnded called once, before the last event, when the connection ends by itself.
     */
    BackendConnection(ConnectionId id, contract::BackendEvents& events,
                      const ConnectorOptions& options, std::function<void()> onEnded,
                      QObject* parent);
    ~BackendConnection() override;

    void open(const ConnectionParameters& parameters);
    /** Reports that the connection can't be opened. */
    void refuse(const std::string& message);
    void run(contract::BackendProgram program);
    void setReading(bool reading);
    /** Ends at once, without an event. */
    void shutdown();

    /** @return the key for cancel requests once the connection is open. */
    const std::optional<CancelKey>& cancelKey() const { return _cancelKey; }

private:
    enum class State { Opening, Idle, Running, Ended };

    static void receiveNotice(void* connection, const PGresult* notice);

    void becomeOpen(ConnectionOpener::Opened opened);
    void failOpening(const ConnectError& error);
    void onReadable();
    void onWritable();
    void advance();
    void endProgram();
    void noteIdleInput();
    void lose(const std::string& message);
    void loseLater(bool sent, const std::string& message);
    void updateWatch();
    void advanceLater();
    contract::ConnectionState transactionState() const;

    const ConnectionId _id;
    contract::BackendEvents& _events;
    const ConnectorOptions& _options;
    std::function<void()> _onEnded;
    State _state = State::Opening;
    ConnectionOpener _opener;
    PgConnection _connection;
    std::optional<CancelKey> _cancelKey;
    SocketWatch _watch;
    std::unique_ptr<ProgramRunner> _runner;
    /** Text of the last notice outside a program: servers say there why they end a session. */
    std::string _idleNotice;
    bool _reading = true;
    /** The server closed the connection or it broke; results read before may still wait. */
    bool _inputEnded = false;
};

}  // namespace coralhoist::backend
