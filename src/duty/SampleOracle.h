/** Checks session tokens against what a majority of a group has confirmed. */
#pragma once

#include <map>
#include <unordered_map>

#include "contract/Execution.h"
#include "link/caller/CallerContext.h"

namespace coralhoist::duty {

/**
 * Learns a group's newest confirmed point by running a read of no table: its floor is a bound for
 * every acknowledged write, so a token above it was never handed out. Lives on the caller duty.
 */
class SampleOracle final : public caller::OpTimeOracle, private contract::ResponseSink {
public:
    /** @param executor, clock outlive the oracle. */
    SampleOracle(contract::StatementExecutor& executor, const Clock& clock);

    std::optional<OpTime> newestKnown(const GroupName& group) const override;
    void sample(const GroupName& group, SampleHandler handler) override;

private:
    struct PendingSample {
        GroupName group;
        SampleHandler handler;
    };

    bool onResponseBytes(RequestId id, std::size_t stepIndex, std::string bytes,
                         bool stepComplete) override;
    void onCompleted(RequestId id, contract::ExecutionResult result) override;

    contract::StatementExecutor& _executor;
    const Clock& _clock;
    std::uint64_t _lastNumber;
    std::map<GroupName, OpTime> _newest;
    std::unordered_map<RequestId, PendingSample> _pending;
};

}  // namespace coralhoist::duty
