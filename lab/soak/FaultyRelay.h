/** A TCP relay on loopback that delays, silences and resets what passes through it. */
#pragma once

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/Time.h"

namespace coralhoist::soak {

/** What a relay does to the bytes of its connections. */
struct RelayFaults {
    /** Bytes wait for so long in each direction. */
    std::chrono::milliseconds delay{0};
    /** Bytes in a direction wait until it is healed, as behind a partition. */
    bool silenceToTarget = false;
    bool silenceToCaller = false;
};

/** Listens on a port of its own and passes bytes to a target on loopback, in order. */
class FaultyRelay final : public QObject {
public:
    explicit FaultyRelay(std::uint16_t targetPort);
    ~FaultyRelay() override;

    std::uint16_t port() const { return _server.serverPort(); }
    void setTarget(std::uint16_t port) { _targetPort = port; }

    /** Takes new faults; bytes that waited and may pass are sent. */
    void setFaults(const RelayFaults& faults);

    /**
     * Fills the queue of new connections and takes none, or takes them again: meanwhile the system
     * drops the packets that open a connection, which are sent again after 1, 3 and 7 s.
     */
    void setQueueFull(bool full);

    /** Resets all connections; bytes on the way are lost. */
    void resetAll();

    /** The connections that are open now pass nothing more, for good; new ones work. */
    void silenceOpenConnections();

private:
    /** One direction of one connection. */
    struct Direction {
        QPointer<QTcpSocket> from;
        QPointer<QTcpSocket> to;
        bool toTarget = false;
        bool silenced = false;
        QByteArray waiting;
    };

    void accept();
    void receive(const std::shared_ptr<Direction>& direction);
    void flush(Direction& direction);
    bool isSilent(const Direction& direction) const;

    QTcpServer _server;
    std::uint16_t _targetPort;
    RelayFaults _faults;
    std::vector<std::shared_ptr<Direction>> _directions;
    /** Connections that fill the queue. */
    std::vector<std::unique_ptr<QTcpSocket>> _fillers;
};

}  // namespace coralhoist::soak
