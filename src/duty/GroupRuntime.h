/** A group executor with its back-end connections and its timer. */
#pragma once

#include <QTimer>
#include <memory>

#include "base/Time.h"
#include "contract/GroupExecutor.h"
#include "link/backend/LibpqConnector.h"

namespace coralhoist::duty {

/**
 * Joins the pure GroupExecutor to libpq and to the event loop's timers: every call and event is
 * passed on, then the timer is set to the executor's next tick.
 */
class GroupRuntime final : public contract::StatementExecutor, public contract::BackendEvents {
public:
    /**
     * @param settings of the group.
     * @param ownZone shown to the database servers.
     * @param clock, random outlive the runtime.
     */
    GroupRuntime(settings::GroupSettings settings, const ZoneName& ownZone, const Clock& clock,
                 RandomSource& random);

    void submit(contract::ExecutionRequest request, contract::ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

    void onOpened(ConnectionId connection) override;
    void onOpenFailed(ConnectionId connection, const std::string& sqlState,
                      const std::string& message) override;
    void onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                        std::string bytes) override;
    void onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                        contract::CommandOutcome outcome) override;
    void onProgramEnded(ConnectionId connection, contract::ConnectionState state) override;
    void onLost(ConnectionId connection, bool sent, const std::string& message) override;

    /** Puts changed settings in force; does nothing when they are the same. */
    void applySettings(const settings::GroupSettings& settings);
    void setConnectionShare(contract::ConnectionShare share);
    void drain();
    bool isDrained() const { return _executor->isDrained(); }
    contract::ExecutorStatistics statistics() const { return _executor->statistics(); }
    contract::GroupReport status() const { return _executor->status(); }

private:
    void armTimer();

    const Clock& _clock;
    settings::GroupSettings _settings;
    backend::LibpqConnector _connector;
    std::unique_ptr<contract::GroupExecutor> _executor;
    QTimer _timer;
};

}  // namespace coralhoist::duty
