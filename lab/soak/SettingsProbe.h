/** Asks a proxy whether it serves a database, over and over, as a caller that has just come. */
#pragma once

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <string>

#include "lab/soak/SettingsJudge.h"

namespace coralhoist::soak {

/** Probes of one proxy. */
class SettingsProbe final : public QObject {
public:
    /** @param judge, clock outlive the probe. */
    SettingsProbe(std::size_t proxy, std::uint16_t port, SettingsJudge& judge, const Clock& clock);

private:
    void ask();
    void onLine(QTcpSocket& socket, const std::string& database, TimePoint askedAt);

    std::size_t _proxy;
    std::uint16_t _port;
    SettingsJudge& _judge;
    const Clock& _clock;
    QTimer _timer;
    std::size_t _asked = 0;
};

}  // namespace coralhoist::soak
