/** Sends one cancel request over a connection of its own. */
#pragma once

#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include "base/Time.h"
#include "link/backend/CancelKey.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::backend {

/**
 * One cancel request under way. Deletes itself when the server has closed the connection, which it
 * does after taking the request, or when the time limit has passed. Outcomes are not reported: the
 * statement's own result tells whether it was cancelled.
 */
class CancelSender final : public QObject {
public:
    CancelSender(const settings::ServerEndpoint& server, CancelKey key, Duration timeLimit,
                 QObject* parent);

private:
    void sendPacket();

    CancelKey _key;
    QTcpSocket _socket;
    QTimer _timer;
};

}  // namespace coralhoist::backend
