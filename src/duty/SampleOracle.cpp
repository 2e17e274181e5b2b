#include "duty/SampleOracle.h"

#include <algorithm>
#include <utility>

namespace coralhoist::duty {
namespace {

/** Above all numbers that the caller server hands out, and below the channel's bits. */
constexpr std::uint64_t kFirstNumber = std::uint64_t{1} << 55U;
constexpr std::chrono::seconds kSampleTimeout{5};
constexpr const char* kReadOfNoTable = "SELECT 1";

contract::StatementBatch readOfNoTable() {
    contract::StatementStep step;
    step.kind = contract::StatementKind::Read;
    step.sql = kReadOfNoTable;
    contract::StatementBatch batch;
    batch.steps.push_back(std::move(step));
    return batch;
}

}  // namespace

SampleOracle::SampleOracle(contract::StatementExecutor& executor, const Clock& clock)
    : _executor(executor), _clock(clock), _lastNumber(kFirstNumber) {}

std::optional<OpTime> SampleOracle::newestKnown(const GroupName& group) const {
    const auto found = _newest.find(group);
    if (found == _newest.end()) {
        return std::nullopt;
    }
    return found->second;
}

void SampleOracle::sample(const GroupName& group, SampleHandler handler) {
    const std::uint64_t number = ++_lastNumber;
    contract::ExecutionRequest request;
    request.id = RequestId(number);
    request.session = SessionId(number);
    request.group = group;
    request.batch = readOfNoTable();
    request.serviceSettings.readRouting = settings::ReadRouting::Replica;
    request.serviceSettings.priority = settings::Priority::Urgent;
    request.deadline = _clock.now() + kSampleTimeout;
    _pending.emplace(request.id, PendingSample{group, std::move(handler)});
    _executor.submit(std::move(request), *this);
}

bool SampleOracle::onResponseBytes(RequestId, std::size_t, std::string, bool) {
    return true;
}

void SampleOracle::onCompleted(RequestId id, contract::ExecutionResult result) {
    const auto node = _pending.extract(id);
    if (node.empty()) {
        return;
    }
    if (result.observed) {
        OpTime& newest = _newest[node.mapped().group];
        newest = std::max(newest, *result.observed);
    }
    _executor.endSession(SessionId(id.value()));
    node.mapped().handler(result.observed);
}

}  // namespace coralhoist::duty
