/** Slots, queues and connections under load. */
#include <CppUTest/TestHarness.h>

#include "FakeBackend.h"

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ExecutorAdmission) {
    ExecutorFixture fixture;
    FakeBackend& backend = fixture.backend;

    void setup() override {
        fixture.executor->setConnectionShare({OwnerRole::Active, 10, 2});
    }

    RequestId write(const std::string& sql, settings::Priority priority) {
        fixture.session = SessionId(fixture.lastRequest + 100);
        fixture.service.priority = priority;
        return fixture.submit(sql, StatementKind::Write);
    }
    RequestId read(const std::string& sql) {
        fixture.session = SessionId(fixture.lastRequest + 100);
        ExecutionRequest request = fixture.request(sql, StatementKind::Read);
        request.floor = OpTime{1, 100};
        return fixture.submit(std::move(request));
    }
    std::size_t heldOn(const ServerName& server) const {
        std::size_t count = 0;
        for (const auto& [id, connection] : backend.connections) {
            count += connection.held.has_value() && connection.server == server ? 1 : 0;
        }
        return count;
    }
    std::size_t heldPrograms() const {
        std::size_t count = 0;
        for (const auto& [id, connection] : backend.connections) {
            count += connection.held.has_value();
        }
        return count;
    }
};

TEST(ExecutorAdmission, ReadsOverflowFromCrowdedReplicasOnlyIntoFreeSlotsOfThePrimary) {
    backend.heldStatements = {"search"};
    // One slot per server is reserved for ordinary statements, and a queue counts as crowded from
    // four statements on.
    constexpr int kReplicasTake = 2 * (1 + 4);
    for (int count = 0; count < kReplicasTake; ++count) {
        read("search");
    }
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(0, heldOn(kServerA));
    read("search");
    read("search");
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(1, heldOn(kServerA));
    CHECK_EQUAL(kReplicasTake - 2 + 1, fixture.executor->statistics().ordinaryQueued);
}

TEST(ExecutorAdmission, AStandbyExecutesForwardedRequestsAndANodeWithoutRoleNone) {
    fixture.executor->setConnectionShare({OwnerRole::Standby, 2, 2});
    const RequestId atStandby = write("write", settings::Priority::Urgent);
    fixture.advance(milliseconds(50));
    CHECK_TRUE(fixture.isOver(atStandby));
    CHECK_FALSE(fixture.answer(atStandby).result->error.has_value());
    fixture.executor->setConnectionShare({OwnerRole::None, 2, 2});
    const RequestId elsewhere = write("write", settings::Priority::Urgent);
    CHECK_TRUE(fixture.answer(elsewhere).result->error->routingFailure == RoutingFailure::NotOwner);
}

TEST(ExecutorAdmission, UrgentKeepsASlotAndPassesOrdinary) {
    backend.heldStatements = {"slow", "urgent"};
    for (int count = 0; count < 3; ++count) {
        write("slow", settings::Priority::Ordinary);
    }
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(1, heldPrograms());
    write("urgent", settings::Priority::Urgent);
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(2, heldPrograms());
    write("urgent", settings::Priority::Urgent);
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(2, heldPrograms());
    CHECK_EQUAL(2, fixture.executor->statistics().ordinaryQueued);
    CHECK_EQUAL(1, fixture.executor->statistics().urgentQueued);
}

TEST(ExecutorAdmission, ATransactionEndsAlthoughAllSlotsWaitForItsLocks) {
    const RequestId begin = fixture.submit("BEGIN", StatementKind::Begin);
    fixture.advance(milliseconds(20));
    const std::optional<TransactionId> transaction = fixture.answer(begin).result->transaction;
    CHECK_TRUE(transaction.has_value());
    const SessionId owner = fixture.session;
    backend.heldStatements = {"blocked"};
    for (int count = 0; count < 3; ++count) {
        write("blocked", settings::Priority::Urgent);
    }
    fixture.advance(milliseconds(20));
    CHECK_EQUAL(2, heldPrograms());
    fixture.session = owner;
    ExecutionRequest commit = fixture.request("COMMIT", StatementKind::Commit);
    commit.transaction = transaction;
    const RequestId id = fixture.submit(std::move(commit));
    fixture.advance(milliseconds(50));
    CHECK_TRUE(fixture.isOver(id));
    CHECK_EQUAL(2, heldPrograms());
}

TEST(ExecutorAdmission, FullQueueRefusesAsNotRunWithAPause) {
    settings::GroupSettings settings = fixture.settings;
    settings.queueLimit = 1;
    fixture.executor->applySettings(settings);
    backend.heldStatements = {"slow"};
    write("slow", settings::Priority::Ordinary);
    write("slow", settings::Priority::Ordinary);
    const RequestId shed = write("shed", settings::Priority::Ordinary);
    STRCMP_EQUAL("53000", fixture.sqlState(shed).c_str());
    CHECK_TRUE(fixture.answer(shed).result->error->retryAfter > Duration(0));
    backend.unhold("slow");
    fixture.advance(seconds(1));
    CHECK_EQUAL(0, backend.countExecuted("shed"));
}

TEST(ExecutorAdmission, QueuedPastItsDeadlineNeverRuns) {
    backend.heldStatements = {"slow"};
    write("slow", settings::Priority::Ordinary);
    ExecutionRequest late = fixture.request("late", StatementKind::Write);
    late.deadline = fixture.clock.now() + seconds(1);
    const RequestId id = fixture.submit(std::move(late));
    fixture.advance(seconds(2));
    STRCMP_EQUAL("57014", fixture.sqlState(id).c_str());
    backend.unhold("slow");
    fixture.advance(seconds(1));
    CHECK_EQUAL(0, backend.countExecuted("late"));
}

TEST(ExecutorAdmission, RefusedConnectsAreRepeatedWithGrowingPauses) {
    backend.refusing = {kServerB};
    backend.loseAll(kServerB);
    const auto before = fixture.executor->statistics().connectsRefused;
    fixture.advance(seconds(10));
    const auto refused = fixture.executor->statistics().connectsRefused - before;
    CHECK_TRUE(refused >= 3);
    CHECK_TRUE(refused <= 40);
}

TEST(ExecutorAdmission, KeepsWithinItsShareOfConnections) {
    fixture.executor->setConnectionShare({OwnerRole::Active, 4, 5});
    for (int count = 0; count < 20; ++count) {
        write("update", settings::Priority::Urgent);
    }
    fixture.advance(milliseconds(100));
    CHECK_TRUE(backend.openTo(kServerA) <= 4);
    CHECK_EQUAL(20, backend.countExecuted("update"));
}

TEST(ExecutorAdmission, ProxyWithoutTheGroupHoldsNoConnection) {
    fixture.executor->setConnectionShare({OwnerRole::None, 0, 0});
    fixture.advance(milliseconds(100));
    CHECK_EQUAL(0, backend.connections.size());
    const RequestId id = write("update", settings::Priority::Urgent);
    STRCMP_EQUAL("57P03", fixture.sqlState(id).c_str());
}

TEST(ExecutorAdmission, AFormerOwnerFinishesAcceptedRequestsAndThenHoldsNoConnection) {
    const RequestId begin = fixture.submit("BEGIN", StatementKind::Begin);
    fixture.advance(milliseconds(20));
    const SessionId owner = fixture.session;
    const std::optional<TransactionId> transaction = fixture.answer(begin).result->transaction;
    backend.heldStatements = {"slow"};
    write("slow", settings::Priority::Urgent);
    write("slow", settings::Priority::Urgent);
    const RequestId queued = write("queued", settings::Priority::Urgent);
    fixture.executor->setConnectionShare({OwnerRole::None, 0, 0});
    backend.unhold("slow");
    fixture.advance(milliseconds(100));
    CHECK_TRUE(fixture.isOver(queued));
    STRCMP_EQUAL("", fixture.sqlState(queued).c_str());
    STRCMP_EQUAL("57P03", fixture.sqlState(write("new", settings::Priority::Urgent)).c_str());
    fixture.session = owner;
    ExecutionRequest commit = fixture.request("COMMIT", StatementKind::Commit);
    commit.transaction = transaction;
    const RequestId end = fixture.submit(std::move(commit));
    fixture.advance(milliseconds(50));
    STRCMP_EQUAL("", fixture.sqlState(end).c_str());
    fixture.advance(seconds(2));
    CHECK_EQUAL(0, backend.connections.size());
}

TEST(ExecutorAdmission, RetriesEndWithTheBudget) {
    ExecutorKnobs knobs;
    knobs.retryBurst = 2;
    knobs.retryPercent = 0;
    fixture.executor.emplace(fixture.settings, fixture.clock, fixture.random, backend, knobs);
    backend.connections.clear();
    backend.events = &*fixture.executor;
    fixture.advance(milliseconds(20));
    const RequestId id = [&] {
        backend.heldStatements = {"update"};
        return write("update", settings::Priority::Urgent);
    }();
    for (int count = 0; count < 3; ++count) {
        backend.loseHeld("update", false);
        fixture.advance(seconds(1));
    }
    STRCMP_EQUAL("08006", fixture.sqlState(id).c_str());
    CHECK_TRUE(fixture.answer(id).result->error->runState == RunState::NotRun);
}

TEST(ExecutorAdmission, SinkMaySubmitFromItsCompletion) {
    struct Chain final : ResponseSink {
        ExecutorFixture* fixture = nullptr;
        int remaining = 5;
        bool onResponseBytes(RequestId, std::size_t, std::string, bool) override { return true; }
        void onCompleted(RequestId, ExecutionResult) override {
            if (--remaining > 0) {
                fixture->executor->submit(fixture->request("update", StatementKind::Write), *this);
            }
        }
    };
    Chain chain;
    chain.fixture = &fixture;
    fixture.executor->submit(fixture.request("update", StatementKind::Write), chain);
    fixture.advance(milliseconds(200));
    CHECK_EQUAL(0, chain.remaining);
    CHECK_EQUAL(5, backend.countExecuted("update"));
}

}  // namespace
}  // namespace coralhoist::contract
