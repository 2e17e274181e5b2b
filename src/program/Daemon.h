/** The duties of one coralhoistd process. */
#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <string>

#include "base/Status.h"
#include "duty/CallerChannel.h"
#include "duty/CallerDuty.h"
#include "duty/ExecutorChannel.h"
#include "duty/MetricsBoard.h"
#include "duty/NodeDuty.h"
#include "duty/event/DutyThread.h"
#include "program/DaemonConfiguration.h"

namespace prometheus {
class Exposer;
}

namespace coralhoist::program {

/** Starts, drains and stops the duties. Lives on the main thread. */
class Daemon final : public QObject {
public:
    /** @param drained called on the main thread when a planned stop is complete. */
    Daemon(DaemonConfiguration configuration, std::function<void()> drained);
    ~Daemon() override;

    /** @return why a duty can't run, e.g. a port in use. */
    Status start();

    /** Planned stop: finishes what is in flight, at most for the configured drain timeout. */
    void drain();

    /** Stops all threads at once. */
    void stop();

    /** @return one JSON line with the ports. Valid after start. */
    std::string listeningReport() const;

private:
    duty::NodeDutyOptions nodeOptions() const;
    duty::CallerDutyOptions callerOptions() const;
    Status startMetrics();

    DaemonConfiguration _configuration;
    duty::ExecutorChannel _executorChannel;
    duty::CallerChannel _callerChannel;
    std::shared_ptr<duty::MetricsBoard> _metrics;
    duty::NodePorts _nodePorts;
    std::atomic<std::uint16_t> _callerPort{0};
    std::unique_ptr<prometheus::Exposer> _exposer;
    /** Set on the node duty's thread while it runs. */
    std::atomic<duty::NodeDuty*> _node{nullptr};
    std::unique_ptr<duty::DutyThread> _nodeThread;
    std::unique_ptr<duty::DutyThread> _callerThread;
    std::function<void()> _drained;
    bool _draining = false;
};

}  // namespace coralhoist::program
