/** Takes one connection from its first packet to the state in which it accepts programs. */
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <optional>

#include "link/backend/CancelKey.h"
#include "link/backend/ConnectError.h"
#include "link/backend/ConnectionParameters.h"
#include "link/backend/SocketWatch.h"

namespace coralhoist::backend {

/** Drives PQconnectPoll on the event loop, within a time limit. Reports exactly once. */
class ConnectionOpener {
public:
    /** What a successful opening yields. */
    struct Opened {
        PgConnection connection;
        /** Missing when the server sends no cancel key. */
        std::optional<CancelKey> cancelKey;
    };

    /**
     * @param owner parent of timers and notifiers.
     * @param onOpened, onFailed called from the event loop; may destroy the opener only later.
     */
    ConnectionOpener(QObject* owner, std::function<void(Opened)> onOpened,
                     std::function<void(ConnectError)> onFailed);

    /** Starts to connect. Reports nothing before it returns. */
    void start(const ConnectionParameters& parameters, Duration timeLimit);

    /** Gives up without a report. */
    void stop();

private:
    void poll();
    void succeed();
    void fail(const ConnectError& error);
    void failLater(const ConnectError& error);

    QObject* _owner;
    std::function<void(Opened)> _onOpened;
    std::function<void(ConnectError)> _onFailed;
    CancelKeyRecorder _keyRecorder;
    PgConnection _connection;
    SocketWatch _watch;
    QTimer _timer;
    bool _finished = false;
};

}  // namespace coralhoist::backend
