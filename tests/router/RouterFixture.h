/** A router over fake executors in virtual time. */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "contract/GroupRouter.h"
#include "contract/Refusals.h"
#include "tests/support/ExecutorFakes.h"

namespace coralhoist::testing {

/** Clock that the test advances. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return time; }
    TimePoint time{std::chrono::hours(1)};
};

/** Node "self" and three other nodes; all are reachable unless removed. */
class RouterFixture final : private contract::OwnerDirectory, private contract::ExecutorDirectory {
public:
    explicit RouterFixture(contract::RouterKnobs knobs = {})
        : router(NodeName("self"), *this, *this, clock, random, knobs) {}

    contract::ExecutionRequest request(std::uint64_t id, contract::StatementKind kind,
                                       Duration time = std::chrono::seconds(10)) const {
        return requestOf(id, kind, clock.time + time);
    }
    void submit(const contract::ExecutionRequest& request) { router.submit(request, sink); }
    FakeExecutor& at(const std::string& node) { return executors[node]; }
    const FakeExecutor::Submission& last(const std::string& node) {
        return executors.at(node).submissions.back();
    }
    void fail(const std::string& node, contract::ExecutionError error) {
        last(node).complete(contract::makeFailure(std::move(error)));
    }
    void fail(const std::string& node, contract::Refusal refusal) {
        fail(node, contract::makeError(refusal));
    }
    /** Simulates the loss of the owner's response to the last batch. */
    void loseAnswer(const std::string& node, contract::Refusal refusal) {
        contract::ExecutionError error = contract::makeError(refusal);
        error.routingFailure = contract::RoutingFailure::OwnerUnreachable;
        fail(node, std::move(error));
    }
    void advance(Duration duration) {
        const TimePoint end = clock.time + duration;
        while (router.nextTick() && *router.nextTick() <= end) {
            clock.time = std::max(clock.time, *router.nextTick());
            router.onTick(clock.time);
        }
        clock.time = end;
    }

    ManualClock clock;
    SeededRandom random{1};
    std::vector<NodeName> ownerList{NodeName("a"), NodeName("b")};
    std::map<std::string, FakeExecutor> executors;
    std::set<std::string> unknownNodes;
    RecordingSink sink;
    contract::GroupRouter router;

private:
    std::vector<NodeName> owners(const GroupName&) const override { return ownerList; }
    contract::StatementExecutor* executor(const NodeName& node, const GroupName&) override {
        return unknownNodes.contains(node.value()) ? nullptr : &executors[node.value()];
    }
};

}  // namespace coralhoist::testing
