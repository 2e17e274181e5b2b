/** A caller's session over TCP in the users' wire format, with a workload of its own. */
#pragma once

#include <QTcpSocket>
#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "base/SystemTime.h"
#include "lab/pooled/LogConnector.h"
#include "lab/pooled/PooledJudge.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/QuotaJudge.h"
#include "lab/soak/SoakTenants.h"

namespace coralhoist::soak {

/** What all callers share. All outlive them. */
struct CallerWorld {
    simulation::EventQueue& queue;
    RandomSource& random;
    pooled::PooledJudge& judge;
    pooled::RequestBook& book;
    /** @return the port of a proxy for the next session. */
    std::function<std::uint16_t()> choosePort;
    std::uint64_t lastCommit = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastSession = 0;
    /** Judges tenants' quotas; null without tenants. */
    QuotaJudge* quotas = nullptr;
    std::uint64_t lastUnit = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    /** A proxy answers all that it has read, since nothing fails but what was planned. */
    bool allAnswered = false;
};

/** What a service promises to its reads. */
struct ServicePromise {
    std::string database;
    pooled::ReadPromise promise = pooled::ReadPromise::Current;
    Duration staleness{0};
};

/** One caller. Opens sessions one after another, on whichever proxy, and judges what it is told. */
class WireCaller final : public QObject {
public:
    /** References outlive the caller. */
    WireCaller(CallerWorld& world, ServicePromise service, CallerTenant tenant);

    ~WireCaller() override { _socket.disconnect(this); }

    /** Begins no further operation. */
    void retire() { _retired = true; }

private:
    void connectToProxy();
    void onClosed();
    void onLine(const std::string& line);
    void onReady(char state);
    void startOperation();
    void sendNext();
    void judge();
    void scheduleOperation();

    CallerWorld& _world;
    ServicePromise _service;
    CallerTenant _tenant;
    QTcpSocket _socket;
    QTimer _next;
    std::uint64_t _session = 0;
    /** Number of the running operation. */
    std::uint64_t _unit = 0;
    bool _open = false;
    bool _busy = false;
    bool _retired = false;
    std::deque<std::string> _remaining;
    pooled::CommitId _commit = 0;
    TimePoint _since{};
    std::string _sent;
    TimePoint _sentAt{};
    std::string _signature;
    std::string _fault;
};

}  // namespace coralhoist::soak
