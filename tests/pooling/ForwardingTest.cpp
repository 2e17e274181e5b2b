#include <CppUTest/TestHarness.h>

#include "PoolerFixture.h"
#include "ScriptedForwarder.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

constexpr int kNodes = 20;

UnitResult success(SessionState state = SessionState::Idle, OpTime ownFloor = {}) {
    UnitResult result;
    result.result.signature = "sig";
    result.result.state = state;
    result.ownFloor = ownFloor;
    return result;
}

UnitResult failure(StatementFault fault, SessionState state) {
    UnitResult result;
    result.result.error = StatementError{fault, "for the test"};
    result.result.state = state;
    return result;
}

bool hasFault(const RecordedReply& reply, StatementFault fault) {
    return reply.result.error && reply.result.error->fault == fault;
}

}  // namespace

TEST_GROUP(Forwarding) {
    PoolerFixture fixture;
    ScriptedForwarder forwarder;

    void setup() override {
        fixture.pooler.setForwarder(forwarder);
        std::vector<ProxyNode> nodes;
        for (int index = 1; index < kNodes; ++index) {
            const NodeName name("n" + std::to_string(index));
            nodes.push_back({name, ZoneName("z1"), "10.0.0.1", 7000});
        }
        fixture.pooler.applyNodes(nodes);
        CHECK_FALSE(fixture.pooler.executesHere(fixture.group));
    }

    SessionId begin(const std::string& service = "current") {
        const SessionId session = fixture.session(service);
        fixture.submit(session, StatementVerb::Begin, "BEGIN");
        return session;
    }

    void answer(UnitResult result) {
        fixture.pooler.onUnitResult(forwarder.sent.back().unit, std::move(result));
    }

    void lose(UnitLoss loss) {
        fixture.pooler.onUnitLost(forwarder.sent.back().unit, loss);
    }
};

TEST(Forwarding, AStatementIsForwardedWithTheStateThatTheExecutorNeeds) {
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Set, "SET a 1", "a", "1");
    fixture.submit(session, StatementVerb::Prepare, "PREPARE p READ q", "p", "q");
    const std::string id = fixture.submit(session, StatementVerb::Execute, "EXECUTE p 5", "p", "5");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
    const ScriptedForwarder::Sent& sent = forwarder.sent.back();
    STRCMP_EQUAL(id.c_str(), sent.statement.statement.id.c_str());
    STRCMP_EQUAL("1", sent.statement.values.at("a").c_str());
    STRCMP_EQUAL("q", sent.statement.shape->shape.c_str());
    CHECK_TRUE(sent.opening->settings.readRouting == settings::ReadRouting::Replica);
    CHECK(sent.opening->settings.statementTimeout < milliseconds(800));
    CHECK_FALSE(sent.opening->begin.has_value());
    answer(success());
    STRCMP_EQUAL("sig", fixture.replies.back().result.signature.c_str());
}

TEST(Forwarding, ARetryReportsItsFirstRequestTimeToTheExecutor) {
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    CHECK_TRUE(forwarder.sent.back().opening->waited == Duration(0));
    fixture.advance(milliseconds(100));
    answer(failure(StatementFault::Busy, SessionState::Idle));
    fixture.advance(milliseconds(120));
    fixture.submit(session, StatementVerb::Read, "READ 1");
    CHECK_TRUE(forwarder.sent.back().opening->waited == milliseconds(220));
}

TEST(Forwarding, ARetryKeepsItsFirstRequestTimeWhenItsExecutorIsLost) {
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    answer(failure(StatementFault::Busy, SessionState::Idle));
    fixture.advance(milliseconds(120));
    fixture.submit(session, StatementVerb::Read, "READ 1");
    const NodeName first = forwarder.sent.back().node;
    fixture.advance(milliseconds(30));
    lose(UnitLoss::NotTaken);
    CHECK_FALSE(forwarder.sent.back().node == first);
    CHECK_TRUE(forwarder.sent.back().opening->waited == milliseconds(150));
}

TEST(Forwarding, TheFloorOfOwnCommitsIsReturnedAndForwarded) {
    const SessionId session = fixture.session("own");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    answer(success(SessionState::Idle, {1, 77}));
    fixture.submit(session, StatementVerb::Read, "READ 1");
    CHECK_TRUE(forwarder.sent.back().opening->ownFloor == (OpTime{1, 77}));
}

TEST(Forwarding, ATransactionIsOneUnit) {
    const SessionId session = begin();
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    fixture.submit(session, StatementVerb::Read, "READ 1");
    CHECK_TRUE(forwarder.sent.back().opening->begin.has_value());
    answer(success(SessionState::InTransaction));
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    CHECK_FALSE(forwarder.sent.back().opening.has_value());
    answer(success(SessionState::InTransaction));
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    CHECK_TRUE(forwarder.sent.front().unit == forwarder.sent.back().unit);
    answer(success());
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    CHECK_TRUE(fixture.pooler.stateOfSession(session) == SessionState::Idle);
    UNSIGNED_LONGS_EQUAL(0, forwarder.ended.size());
}

TEST(Forwarding, RollbackAndTheEndOfASessionEndTheUnit) {
    for (const bool rollsBack : {true, false}) {
        forwarder.ended.clear();
        const SessionId session = begin();
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        answer(success(SessionState::InTransaction));
        if (rollsBack) {
            fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
            CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
        } else {
            fixture.pooler.endSession(session);
        }
        UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    }
}

TEST(Forwarding, AWriteWhoseExecutorIsLostIsInDoubt) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    lose(UnitLoss::Unanswered);
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::InDoubt));
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
}

TEST(Forwarding, AReadWhoseExecutorIsLostGoesToAnother) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    const NodeName first = forwarder.sent.back().node;
    lose(UnitLoss::Unanswered);
    UNSIGNED_LONGS_EQUAL(2, forwarder.sent.size());
    CHECK_TRUE(forwarder.sent.back().node != first);
    answer(success());
    CHECK_TRUE(fixture.replies.back().result.succeeded());
}

TEST(Forwarding, AWriteThatAnExecutorDeclinesGoesToAnother) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    const NodeName first = forwarder.sent.back().node;
    lose(UnitLoss::NotTaken);
    UNSIGNED_LONGS_EQUAL(2, forwarder.sent.size());
    CHECK_TRUE(forwarder.sent.back().node != first);
}

TEST(Forwarding, ATransactionThatAnExecutorDeclinesBeginsAtAnother) {
    const SessionId session = begin();
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    lose(UnitLoss::NotTaken);
    UNSIGNED_LONGS_EQUAL(2, forwarder.sent.size());
    CHECK_TRUE(forwarder.sent.back().opening->begin.has_value());
    answer(success(SessionState::InTransaction));
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::InTransaction);
}

TEST(Forwarding, AnInterruptedTransactionIsAborted) {
    const SessionId session = begin();
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    lose(UnitLoss::Unanswered);
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Failed);
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
}

TEST(Forwarding, ATransactionLostBetweenStatementsIsAborted) {
    const SessionId session = begin();
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    answer(success(SessionState::InTransaction));
    const std::size_t replies = fixture.replies.size();
    lose(UnitLoss::Unanswered);
    UNSIGNED_LONGS_EQUAL(replies, fixture.replies.size());
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
}

TEST(Forwarding, ALostCommitIsInDoubtOnlyWhenTheTransactionWrote) {
    for (const bool writes : {true, false}) {
        const SessionId session = begin();
        fixture.submit(session, writes ? StatementVerb::Write : StatementVerb::Read, "X 1 a");
        answer(success(SessionState::InTransaction));
        fixture.submit(session, StatementVerb::Commit, "COMMIT");
        lose(UnitLoss::Unanswered);
        CHECK_TRUE(hasFault(fixture.replies.back(),
                            writes ? StatementFault::InDoubt : StatementFault::Aborted));
        CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
    }
}

TEST(Forwarding, AFailedTransactionIsEndedByItsCaller) {
    const SessionId session = begin();
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    answer(failure(StatementFault::Aborted, SessionState::Failed));
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Failed);
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(0, forwarder.ended.size());
}

TEST(Forwarding, AWriteWithoutAnAnswerInTimeIsInDoubtAndItsUnitIsEnded) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.advance(milliseconds(801));
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::InDoubt));
    UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    const std::size_t replies = fixture.replies.size();
    answer(success());
    UNSIGNED_LONGS_EQUAL(replies, fixture.replies.size());
}

TEST(Forwarding, AnIdleTransactionOnAnotherNodeIsEnded) {
    const SessionId session = begin();
    fixture.submit(session, StatementVerb::Read, "READ 1");
    answer(success(SessionState::InTransaction));
    fixture.advance(milliseconds(1100));
    UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    fixture.submit(session, StatementVerb::Read, "READ 2");
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
}

TEST(Forwarding, ThisNodeExecutesStatementsWithoutAReachableExecutor) {
    for (int index = 0; index < kNodes; ++index) {
        forwarder.unreachable.insert(NodeName("n" + std::to_string(index)));
    }
    fixture.submit(fixture.session("bounded"), StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(Forwarding, ASessionThatMovedOnToAnExecutorLeavesItsFormerConnectionAlone) {
    for (int index = 0; index < kNodes; ++index) {
        forwarder.unreachable.insert(NodeName("n" + std::to_string(index)));
    }
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    forwarder.unreachable.clear();
    fixture.refuse(StatementFault::Busy);
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
    fixture.pooler.endSession(session);
    UNSIGNED_LONGS_EQUAL(1, forwarder.ended.size());
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

/** This node and one other node are executors. */
TEST_GROUP(ForwardingOfExecutors) {
    PoolerFixture fixture;
    ScriptedForwarder forwarder;

    void setup() override {
        fixture.pooler.setForwarder(forwarder);
        fixture.pooler.applyNodes({{NodeName("n1"), ZoneName("z2"), "10.0.0.1", 7000}});
        CHECK_TRUE(fixture.pooler.executesHere(fixture.group));
    }

    void losePrimaryConnections() {
        for (const auto& [id, server] : fixture.connector.serverOf) {
            if (server == ServerName("s1")) {
                fixture.pooler.onLost(id);
            }
        }
    }

    void refuseConnections(StatementFault fault) {
        fixture.advance(milliseconds(60));
        std::vector<ConnectionId> opening;
        opening.swap(fixture.connector.opening);
        CHECK_FALSE(opening.empty());
        for (const ConnectionId id : opening) {
            fixture.pooler.onOpenFailed(id, StatementError{fault, "for the test"});
        }
    }
};

/**
 * A node that the primary still refuses 2 s after a restart must not hold the statements that need
 * the primary.
 */
TEST(ForwardingOfExecutors, StatementsForAPrimaryThatRefusesConnectionsGoToAnotherNode) {
    losePrimaryConnections();
    refuseConnections(StatementFault::ConnectionLimit);
    const std::string id =
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
    STRCMP_EQUAL(id.c_str(), forwarder.sent.back().statement.statement.id.c_str());
    fixture.pooler.onUnitResult(forwarder.sent.back().unit, success());
    STRCMP_EQUAL("sig", fixture.replies.back().result.signature.c_str());
}

TEST(ForwardingOfExecutors, AStatementThatWasForwardedHereIsNotForwardedAgain) {
    losePrimaryConnections();
    refuseConnections(StatementFault::ConnectionLimit);
    UnitOpening opening;
    opening.service = ServiceName("current");
    opening.group = fixture.group;
    opening.settings.statementTimeout = milliseconds(800);
    const SessionId unit = fixture.pooler.openUnit(opening);
    UnitStatement statement;
    statement.statement.id = "forwarded";
    statement.statement.verb = StatementVerb::Write;
    statement.statement.text = "WRITE 1 a";
    fixture.pooler.submitUnit(unit, statement);
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
}

TEST(ForwardingOfExecutors, StatementsForASilentPrimaryGoToAnotherNode) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    fixture.advance(milliseconds(200));
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 2 a");
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
}

TEST(ForwardingOfExecutors, AReadWithoutAProofOfLeadershipGoesToAnotherNode) {
    fixture.advance(milliseconds(600));
    fixture.submit(fixture.session("current"), StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    fixture.advance(milliseconds(101));
    UNSIGNED_LONGS_EQUAL(1, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

TEST(ForwardingOfExecutors, AnExecutorRunsTheStatementsThatItCanServe) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(Forwarding, ANodeThatExecutesNothingClosesItsIdleConnections) {
    CHECK(fixture.connector.closed.empty());
    fixture.advance(milliseconds(2100));
    fixture.advance(milliseconds(100));
    CHECK(!fixture.connector.closed.empty());
    CHECK(fixture.connector.opening.empty());
}

TEST(Forwarding, NoConnectionIsOpenedBeforeTheOtherNodesAreKnown) {
    PoolerKnobs knobs;
    knobs.node = NodeName("n0");
    knobs.zone = ZoneName("z1");
    ScriptedConnector connector;
    StatementPooler pooler(fixture.clock, connector, fixture, knobs);
    pooler.setForwarder(forwarder);
    pooler.applyDirectory(fixture.directory);
    pooler.onTick();
    UNSIGNED_LONGS_EQUAL(0, connector.opening.size());
    pooler.applyNodes({});
    fixture.clock.advance(milliseconds(100));
    pooler.onTick();
    UNSIGNED_LONGS_EQUAL(3, connector.opening.size());
}

TEST(Forwarding, AForwardedUnitIsExecutedHereRegardlessOfPlacement) {
    UnitOpening opening;
    opening.service = ServiceName("unknown here");
    opening.group = fixture.group;
    opening.settings.statementTimeout = milliseconds(500);
    opening.begin = Statement{"b1", StatementVerb::Begin, "BEGIN", {}, {}, ShapeKind::Read};
    const SessionId session = fixture.pooler.openUnit(opening);
    const Statement write{"w1", StatementVerb::Write, "WRITE 1 a", {}, {}, ShapeKind::Read};
    fixture.pooler.submitUnit(session, {write, {{"a", "1"}}, std::nullopt});
    UNSIGNED_LONGS_EQUAL(0, forwarder.sent.size());
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Set);
    fixture.acknowledge();
    STRCMP_EQUAL("b1", fixture.pending().command.id.c_str());
    fixture.acknowledge(SessionState::InTransaction);
    STRCMP_EQUAL("w1", fixture.pending().command.id.c_str());
    fixture.succeed({1, 5}, SessionState::InTransaction);
    const Statement commit{"c1", StatementVerb::Commit, "COMMIT", {}, {}, ShapeKind::Read};
    fixture.pooler.submitUnit(session, {commit, {{"a", "1"}}, std::nullopt});
    fixture.succeed({1, 6});
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    CHECK_TRUE(fixture.pooler.ownFloorOf(session) == (OpTime{1, 6}));
}

}  // namespace coralhoist::pooling
