/** Stand-in for the platform: its object API over HTTP, with faults on command. */
#pragma once

#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <QtHttpServer/QAbstractHttpServer>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "base/Status.h"
#include "lab/platform/ObjectStore.h"
#include "lab/platform/PlatformApi.h"
#include "lab/platform/PlatformFaults.h"
#include "lab/platform/WatchStream.h"
#include "link/platform/MachineRecord.h"

namespace coralhoist::lab {

struct PlatformServerOptions {
    /** Time between bookmarks on each watch. */
    std::chrono::milliseconds bookmarkInterval{1000};
    /** Faults at the start and after healing, e.g. the machine list's ordinary lag. */
    PlatformFaults baseFaults;
};

/** What the clients have asked for so far. */
struct PlatformStatistics {
    std::uint64_t lists = 0;
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t edits = 0;
    /** Watches open now. */
    std::uint64_t openWatches = 0;
};

/**
 * Serves /apis/coralhoist.io/v1/{settingsnodes,machines}, POST /fault and GET /stats. Works in the
 * thread and event loop that made it.
 */
class PlatformServer final : public QAbstractHttpServer {
    Q_OBJECT

public:
    explicit PlatformServer(PlatformServerOptions options = {});
    ~PlatformServer() override;

    /**
     * @param host IP number to listen on.
     * @param port 0 lets the kernel choose.
     * @return the port, or Unavailable.
     */
    StatusWith<std::uint16_t> start(const QString& host = "127.0.0.1", std::uint16_t port = 0);

    /**
     * Creates objects from {"nodes": [{"path", "document"}], "machines": [{"name", ...}]}.
     * @return ok, or InvalidArgument naming the entry.
     */
    Status loadInitial(const QJsonObject& content);

    /** Creates a machine or replaces the one of that name. */
    void putMachine(const platform::MachineRecord& machine);

    /** Changes the faults; what had been held back is served when a fault ends. */
    void applyFaults(const FaultCommand& command);

    const PlatformFaults& faults() const { return _faults; }
    PlatformStatistics statistics() const;
    const ObjectStore& store() const { return _store; }

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    /** A request on its way through delays and outages. */
    struct PendingRequest;
    /** A watch and the version up to which it has been served. */
    struct Watcher;

    bool handleControl(const QHttpServerRequest& request, QTcpSocket* socket);
    QJsonObject statisticsObject() const;
    void handleFaultRequest(const QHttpServerRequest& request, QTcpSocket* socket);
    void admit(const std::shared_ptr<PendingRequest>& request);
    void serve(const std::shared_ptr<PendingRequest>& request);
    void serveEdit(const std::shared_ptr<PendingRequest>& request);
    void openWatch(const std::shared_ptr<PendingRequest>& request);
    void publish(const QString& collection);
    void serveWatches(const QString& collection);
    void serveWatch(Watcher& watcher);
    void onBookmarkTick();
    void cutWatches();
    void healOutage();
    bool watchesAreSilent() const;

    PlatformServerOptions _options;
    PlatformFaults _faults;
    ObjectStore _store;
    PlatformStatistics _statistics;
    std::vector<std::unique_ptr<Watcher>> _watchers;
    std::deque<std::shared_ptr<PendingRequest>> _hungRequests;
    QTimer _bookmarkTimer;
    QTimer _outageTimer;
};

}  // namespace coralhoist::lab
