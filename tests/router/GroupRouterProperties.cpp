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
enum class Fate { Succeeds, RefusesAsNotOwner, IsUnreachable, LosesAnswer, Sheds, StaysSilent };

struct Course {
    StatementKind kind;
    bool hasKey;
    /** Outcomes of the first attempts, one each; all later attempts succeed. */
    std::vector<Fate> fates;
};

rc::Gen<Course> courses() {
    return rc::gen::build<Course>(
        rc::gen::set(&Course::kind, rc::gen::element(StatementKind::Read, StatementKind::Write)),
        rc::gen::set(&Course::hasKey),
        rc::gen::set(&Course::fates,
                     rc::gen::container<std::vector<Fate>>(rc::gen::element(
                         Fate::Succeeds, Fate::RefusesAsNotOwner, Fate::IsUnreachable,
                         Fate::LosesAnswer, Fate::Sheds, Fate::StaysSilent))));
}

/** Runs one scenario and counts the attempts that took effect or may have. */
class Play {
public:
    explicit Play(const Course& course) : _course(course) {}

    void run() {
        contract::ExecutionRequest request =
            _fixture.request(1, _course.kind, std::chrono::seconds(10));
        if (_course.hasKey) {
            request.requestKey = "key";
        }
        _fixture.submit(request);
        const TimePoint end = request.deadline + std::chrono::seconds(1);
        while (!_fixture.sink.isComplete(1) && _fixture.clock.time < end) {
            if (!answerOne()) {
                _fixture.advance(std::chrono::milliseconds(100));
            }
        }
        // The executor that has the batch must end it at the deadline.
        if (!_fixture.sink.isComplete(1) && _silent) {
            complete(*_silent, isWrite() ? Refusal::OutcomeUnknown : Refusal::StatementTimedOut);
        }
    }

    bool isWrite() const { return _course.kind == StatementKind::Write; }
    const testing::RecordingSink::Answer& answer() { return _fixture.sink.answers[1]; }

    int effects = 0;

private:
    using Submission = testing::FakeExecutor::Submission;

    /** @return whether there was an attempt without a response, which then got one. */
    bool answerOne() {
        for (auto& [node, executor] : _fixture.executors) {
            if (executor.submissions.size() > _answered[node]) {
                ++_answered[node];
                const Submission submission = executor.submissions.back();
                apply(nextFate(), submission);
                return true;
            }
        }
        return false;
    }

    Fate nextFate() {
        return _attempts < _course.fates.size() ? _course.fates[_attempts++] : Fate::Succeeds;
    }

    void apply(Fate fate, const Submission& submission) {
        _silent.reset();
        switch (fate) {
            case Fate::Succeeds:
                effects += isWrite() ? 1 : 0;
                submission.complete();
                return;
            case Fate::RefusesAsNotOwner:
                return complete(submission, Refusal::NotOwner);
            case Fate::IsUnreachable:
                return complete(submission, Refusal::OwnerUnreachable);
            case Fate::Sheds:
                return complete(submission, Refusal::QueueFull);
            case Fate::LosesAnswer:
                return loseAnswer(submission);
            case Fate::StaysSilent:
                // The router may try another owner; the batch may still run on this one.
                _silent = submission;
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

    Course _course;
    RouterFixture _fixture;
    std::map<std::string, std::size_t> _answered;
    std::size_t _attempts = 0;
    std::optional<Submission> _silent;
};

TEST_GROUP(GroupRouterProperties){void setup() override{
    // RapidCheck reads its seed and its number of cases from this variable; a value that is already
    // set takes precedence.
    setenv("RC_PARAMS", "seed=1 max_success=5000", 0);
}  // namespace
};  // namespace coralhoist

TEST(GroupRouterProperties, HoldForAnyCourseOfOneBatch) {
    const bool holds = rc::check("one completion, at most once, not run means not run", [] {
        const Course course = *courses();
        Play play(course);
        play.run();
        RC_ASSERT(play.answer().completions == 1);
        const auto& error = play.answer().result.error;
        if (error && error->runState == RunState::NotRun) {
            RC_ASSERT(play.effects == 0);
        }
        if (play.isWrite() && !course.hasKey) {
            RC_ASSERT(play.effects <= 1);
        }
    });
    CHECK_TRUE(holds);
}

}  // namespace
}  // namespace coralhoist
