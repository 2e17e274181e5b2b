#include "link/caller/CallerStatistics.h"

namespace coralhoist::caller {

std::vector<NamedCounter> CallerStatistics::named() const {
    return {
        {"caller_connections_accepted", connectionsAccepted},
        {"caller_connections_closed", connectionsClosed},
        {"caller_connections_refused", connectionsRefused},
        {"caller_startup_timeouts", startupTimeouts},
        {"caller_sessions_started", sessionsStarted},
        {"caller_sessions_drained", sessionsDrained},
        {"caller_protocol_violations", protocolViolations},
        {"caller_batches_submitted", batchesSubmitted},
        {"caller_batches_failed", batchesFailed},
        {"caller_read_batches", readBatches},
        {"caller_read_batches_by_replica", readBatchesByReplica},
        {"caller_write_batches", writeBatches},
        {"caller_statements_refused", statementsRefused},
        {"caller_syntax_errors", syntaxErrors},
        {"caller_tokens_refused", tokensRefused},
        {"caller_token_samples", tokenSamples},
        {"caller_cancels_accepted", cancelsAccepted},
        {"caller_cancels_ignored", cancelsIgnored},
        {"caller_back_pressure_pauses", backPressurePauses},
    };
}

}  // namespace coralhoist::caller
