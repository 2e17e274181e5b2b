/**
 * Executes the batches of one database group on an owner proxy and enforces the consistency
 * guarantees.
 */
#pragma once

#include <memory>
#include <optional>

#include "base/Time.h"
#include "contract/BackendConnector.h"
#include "contract/ConnectionShare.h"
#include "contract/Execution.h"
#include "contract/ExecutorKnobs.h"
#include "contract/ExecutorStatistics.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::contract {

class ExecutorCore;

/**
 * The statement executor of one group. Single-threaded: all methods, all events of its connections
 * and all calls of its sinks happen on one thread, and no method blocks.
 *
 * Usage: construct the object, pass it as BackendEvents to the connector, then call onTick whenever
 * nextTick is reached. After any other call, nextTick may return an earlier time than before.
 */
class GroupExecutor final : public StatementExecutor, public BackendEvents {
public:
    /**
     * @param settings of the group.
     * @param clock, random, connector must outlive the executor.
     * @param knobs tuning constants.
     */
    GroupExecutor(settings::GroupSettings settings, const Clock& clock, RandomSource& random,
                  BackendConnector& connector, ExecutorKnobs knobs = {});
    ~GroupExecutor() override;
    GroupExecutor(const GroupExecutor&) = delete;
    GroupExecutor& operator=(const GroupExecutor&) = delete;

    void submit(ExecutionRequest request, ResponseSink& sink) override;
    void resume(RequestId id) override;
    void cancel(RequestId id) override;
    void endSession(SessionId session) override;

    void onOpened(ConnectionId connection) override;
    void onOpenFailed(ConnectionId connection, const std::string& sqlState,
                      const std::string& message) override;
    void onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                        std::string bytes) override;
    void onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                        CommandOutcome outcome) override;
    void onProgramEnded(ConnectionId connection, ConnectionState state) override;
    void onLost(ConnectionId connection, bool sent, const std::string& message) override;

    /** Replaces the group's settings; connections to removed servers are closed when idle. */
    void applySettings(settings::GroupSettings settings);

    /**
     * Sets this proxy's role and its share of each server's connections and slots. Without a role,
     * new batches are refused; requests in flight and open transactions finish with the former
     * share.
     */
    void setConnectionShare(ConnectionShare share);

    /**
     * Another proxy has observed a server of the group in this term. The hint triggers an immediate
     * status check.
     */
    void onTermHint(Term term);

    /** Runs all timers that are due. */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; empty when no timer is set. */
    std::optional<TimePoint> nextTick() const;

    /**
     * Starts a planned shutdown: new transactions and statements outside a transaction are refused
     * as not run.
     */
    void drain();

    /**
     * @return whether the executor is draining and has no request in flight and no open
     *         transaction.
     */
    bool isDrained() const;

    ExecutorStatistics statistics() const;
    GroupReport status() const;

private:
    std::unique_ptr<ExecutorCore> _core;
};

}  // namespace coralhoist::contract
