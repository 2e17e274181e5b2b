/** Property tests: invariants of the router for every sequence of attempt outcomes. */
#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "tests/router/RouterFixture.h"

namespace coralhoist {
namespace {

using contract::Refusal;
using contract::RunState;
using contract::StatementKind;
using testing::RouterFixture;

/** Outcome of an attempt at an owner. */
enum class AttemptOutcome {
    Succeeds,
    RefusesAsNotOwner,
    IsUnreachable,
    LosesResponse,
    Sheds,
    NeverResponds
};

struct Scenario {
    StatementKind kind;
    bool hasKey;
    /** Outcomes of the first attempts, one each; all later attempts succeed. */
    std::vector<AttemptOutcome> outcomes;
};

rc::Gen<Scenario> scenarios() {
    return rc::gen::build<Scenario>(
        rc::gen::set(&Scenario::kind, rc::gen::element(StatementKind::Read, StatementKind::Write)),
        rc::gen::set(&Scenario::hasKey),
        rc::gen::set(&Scenario::outcomes,
                     rc::gen::container<std::vector<AttemptOutcome>>(rc::gen::element(
                         AttemptOutcome::Succeeds, AttemptOutcome::RefusesAsNotOwner,
                         AttemptOutcome::IsUnreachable, AttemptOutcome::LosesResponse,
                         AttemptOutcome::Sheds, AttemptOutcome::NeverResponds))));
}

/** Runs one scenario and counts the attempts that took effect or may have. */
class ScenarioRun {
public:
    explicit ScenarioRun(const Scenario& scenario) : _scenario(scenario) {}

    void run() {
        contract::ExecutionRequest request =
            _fixture.request(1, _scenario.kind, std::chrono::seconds(10));
        if (_scenario.hasKey) {
            request.requestKey = "key";
        }
        _fixture.submit(request);
        const TimePoint end = request.deadline + std::chrono::seconds(1);
        while (!_fixture.sink.isComplete(1) && _fixture.clock.time < end) {
            if (!respondToNextAttempt()) {
                _fixture.advance(std::chrono::milliseconds(100));
            }
        }
        // The executor that has the batch must end it at the deadline.
        if (!_fixture.sink.isComplete(1) && _unanswered) {
            complete(*_unanswered,
                     isWrite() ? Refusal::OutcomeUnknown : Refusal::StatementTimedOut);
        }
    }

    bool isWrite() const { return _scenario.kind == StatementKind::Write; }
    const testing::RecordingSink::Answer& answer() { return _fixture.sink.answers[1]; }

    int effects = 0;

private:
    using Submission = testing::FakeExecutor::Submission;

    /** @return whether there was an attempt without a response, which then got one. */
    bool respondToNextAttempt() {
        for (auto& [node, executor] : _fixture.executors) {
            if (executor.submissions.size() > _answered[node]) {
                ++_answered[node];
                const Submission submission = executor.submissions.back();
                apply(nextOutcome(), submission);
                return true;
            }
        }
        return false;
    }

    AttemptOutcome nextOutcome() {
        return _attempts < _scenario.outcomes.size() ? _scenario.outcomes[_attempts++]
                                                     : AttemptOutcome::Succeeds;
    }

    void apply(AttemptOutcome outcome, const Submission& submission) {
        _unanswered.reset();
        switch (outcome) {
            case AttemptOutcome::Succeeds:
                effects += isWrite() ? 1 : 0;
                submission.complete();
                return;
            case AttemptOutcome::RefusesAsNotOwner:
                return complete(submission, Refusal::NotOwner);
            case AttemptOutcome::IsUnreachable:
                return complete(submission, Refusal::OwnerUnreachable);
            case AttemptOutcome::Sheds:
                return complete(submission, Refusal::QueueFull);
            case AttemptOutcome::LosesResponse:
                return loseAnswer(submission);
            case AttemptOutcome::NeverResponds:
                // The router may try another owner; the batch may still run on this one.
                _unanswered = submission;
                effects += isWrite() ? 1 : 0;
                return;
        }
    }

    static void complete(const Submission& submission, Refusal refusal) {
        submission.complete(contract::makeFailure(contract::makeError(refusal)));
    }

    void loseAnswer(const Submission& submission) {
        effects += isWrite() ? 1 : 0;
        contract::ExecutionError error =
            contract::makeError(isWrite() ? Refusal::OutcomeUnknown : Refusal::ResultInterrupted);
        error.routingFailure = contract::RoutingFailure::OwnerUnreachable;
        submission.complete(contract::makeFailure(error));
    }

    Scenario _scenario;
    RouterFixture _fixture;
    std::map<std::string, std::size_t> _answered;
    std::size_t _attempts = 0;
    std::optional<Submission> _unanswered;
};

TEST_GROUP(GroupRouterProperties){void setup() override{
    // RapidCheck reads its seed and its number of cases from this variable; a value that is already
    // set takes precedence.
    setenv("RC_PARAMS", "seed=1 max_success=5000", 0);
}  // namespace
};  // namespace coralhoist

TEST(GroupRouterProperties, HoldForEveryScenarioOfOneBatch) {
    const bool holds = rc::check("one completion, at most once, not run means not run", [] {
        const Scenario scenario = *scenarios();
        ScenarioRun scenarioRun(scenario);
        scenarioRun.run();
        RC_ASSERT(scenarioRun.answer().completions == 1);
        const auto& error = scenarioRun.answer().result.error;
        if (error && error->runState == RunState::NotRun) {
            RC_ASSERT(scenarioRun.effects == 0);
        }
        if (scenarioRun.isWrite() && !scenario.hasKey) {
            RC_ASSERT(scenarioRun.effects <= 1);
        }
    });
    CHECK_TRUE(holds);
}

}  // namespace
}  // namespace coralhoist
