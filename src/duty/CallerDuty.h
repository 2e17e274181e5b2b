/** The thread that serves callers. */
#pragma once

#include <QTimer>
#include <atomic>
#include <memory>
#include <string>

#include "base/SystemTime.h"
#include "duty/CallerChannel.h"
#include "duty/ExecutorChannel.h"
#include "duty/RingExecutor.h"
#include "duty/SampleOracle.h"
#include "duty/event/DutyThread.h"
#include "link/caller/CallerServer.h"

namespace coralhoist::duty {

/** What the caller duty is started with. */
struct CallerDutyOptions {
    std::string address;
    std::uint16_t port = 0;
    caller::CallerServerOptions server;
    /** Seed of the secrets of cancel requests; from the system's entropy in production. */
    std::uint64_t seed = 0;
};

/** Joins the caller server to the rings. */
class CallerDuty final : public Duty {
public:
    /**
     * @param executorChannel, callerChannel outlive the duty.
     * @param boundPort set to the port once start has succeeded.
     */
    CallerDuty(CallerDutyOptions options, ExecutorChannel& executorChannel,
               CallerChannel& callerChannel, std::atomic<std::uint16_t>& boundPort);

    Status start() override;

private:
    void onUpdate(CallerUpdate&& update);
    void report();

    CallerDutyOptions _options;
    std::atomic<std::uint16_t>& _boundPort;
    SteadyClock _clock;
    SeededRandom _random;
    RingExecutor _executor;
    SampleOracle _oracle;
    caller::CallerServer _server;
    RingSender<CallerReport> _reports;
    RingReceiver<CallerUpdate> _updates;
    QTimer _reportTimer;
    bool _draining = false;
};

}  // namespace coralhoist::duty
