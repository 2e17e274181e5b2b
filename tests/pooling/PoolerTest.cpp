#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

bool hasFault(const RecordedReply& reply, StatementFault fault) {
    return reply.result.error && reply.result.error->fault == fault;
}

TEST_GROUP(StatementPooler) {
    PoolerFixture fixture;

    std::string write(const char* service) {
        return fixture.submit(fixture.session(service), StatementVerb::Write, "WRITE 1 a");
    }

    /** Lets a write of "own" take ten times as long as one of "bounded". */
    void observeSlotTimes() {
        write("own");
        fixture.clock.advance(milliseconds(40));
        fixture.succeed();
        write("bounded");
        fixture.clock.advance(milliseconds(4));
        fixture.succeed();
    }
};

TEST(StatementPooler, PassesAReadOnAsGivenAndReturnsItsSignature) {
    const SessionId session = fixture.session("current");
    const std::string id = fixture.submit(session, StatementVerb::Read, "READ 1");
    STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
    STRCMP_EQUAL(id.c_str(), fixture.pending().command.id.c_str());
    STRCMP_EQUAL("READ 1", fixture.pending().command.text.c_str());
    fixture.succeed();
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    STRCMP_EQUAL("sig", fixture.replies[0].result.signature.c_str());
}

TEST(StatementPooler, ACommitProvesNoLeadershipHoweverManyReplicasHaveIt) {
    for (const std::uint32_t replicas : {1U, 0U}) {
        fixture.groupSettings.synchronousReplicas = replicas;
        fixture.applySettings();
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
        fixture.advance(milliseconds(400));
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
        fixture.succeed();
        CHECK_TRUE(fixture.replies.back().result.succeeded());
        fixture.advance(milliseconds(200));
        fixture.submit(fixture.session("current"), StatementVerb::Read, "READ 1");
        UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
        UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
        fixture.succeed();
    }
}

TEST(StatementPooler, HoldsACurrentReadUntilTheLeadershipIsProven) {
    fixture.advance(milliseconds(600));
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    CHECK(fixture.proofsWanted > 0);
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(StatementPooler, ARefusalSaysWhyAndWhenToComeBack) {
    fixture.advance(milliseconds(600));
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    // The read is held until only the time that a statement takes is left of its 800 ms.
    fixture.advance(milliseconds(784));
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
    fixture.advance(milliseconds(1));
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    STRCMP_EQUAL("not run (leadership_unproven); come back in 100 ms",
                 fixture.replies[0].result.error->message.c_str());
}

/** Guards against a write that runs after its deadline: the process stood still while a connection
 * opened for the write, and goes on with the connection before its timers. */
TEST(StatementPooler, AWriteIsNotSentWhenItsConnectionOpensAfterItsDeadline) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 2 a");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    CHECK(!fixture.connector.opening.empty());
    fixture.clock.advance(milliseconds(900));
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(hasFault(fixture.replies[0], StatementFault::Busy));
}

TEST(StatementPooler, AWriteWhoseAnswerIsLostIsInDoubtAtOnce) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.pooler.onLost(fixture.pending().connection);
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(hasFault(fixture.replies[0], StatementFault::InDoubt));
}

TEST(StatementPooler, AReadWhoseAnswerIsLostGoesToAnotherServer) {
    const SessionId writer = fixture.session("current");
    fixture.submit(writer, StatementVerb::Write, "WRITE 1 a");
    fixture.succeed({1, 50});
    const SessionId session = fixture.session("bounded");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    const ServerName first = fixture.pending().server;
    const ConnectionId lost = fixture.pending().connection;
    fixture.connector.sent.clear();
    fixture.pooler.onLost(lost);
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    CHECK_FALSE(first == fixture.pending().server);
    fixture.succeed();
    UNSIGNED_LONGS_EQUAL(2, fixture.replies.size());
    CHECK_TRUE(fixture.replies[1].result.succeeded());
}

TEST(StatementPooler, ABoundedReadCarriesThePositionItNeeds) {
    const SessionId writer = fixture.session("own");
    fixture.submit(writer, StatementVerb::Write, "WRITE 1 a");
    fixture.succeed({1, 50});
    fixture.submit(writer, StatementVerb::Read, "READ 1");
    CHECK_TRUE(fixture.pending().command.after.has_value());
    UNSIGNED_LONGS_EQUAL(50, fixture.pending().command.after->position);
}

TEST(StatementPooler, ASessionsValuesAreInForceBeforeItsStatement) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Set, "SET a 1", "a", "1");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(2, fixture.pendingCount());
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Set);
    fixture.acknowledge();
    fixture.succeed();
    const SessionId other = fixture.session("current");
    fixture.submit(other, StatementVerb::Read, "READ 1");
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Reset);
    UNSIGNED_LONGS_EQUAL(2, fixture.pendingCount());
}

TEST(StatementPooler, AnAnswerBehindAFailedSettingIsNotTrusted) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Set, "SET a 1", "a", "1");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.refuse(StatementFault::Failed);
    fixture.succeed();
    UNSIGNED_LONGS_EQUAL(2, fixture.replies.size());
    CHECK_TRUE(hasFault(fixture.replies[1], StatementFault::InDoubt));
}

TEST(StatementPooler, AnExecuteUsesTheServersOwnNameOfItsShape) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Prepare, "PREPARE x READ q", "x", "q");
    fixture.submit(session, StatementVerb::Execute, "EXECUTE x 7", "x", "7");
    UNSIGNED_LONGS_EQUAL(2, fixture.pendingCount());
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Prepare);
    const std::string name = fixture.pending().command.name;
    fixture.acknowledge();
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Execute);
    STRCMP_EQUAL(name.c_str(), fixture.pending().command.name.c_str());
    fixture.succeed();
    fixture.submit(session, StatementVerb::Execute, "EXECUTE x 8", "x", "8");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(StatementPooler, ATransactionKeepsItsConnection) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    fixture.submit(session, StatementVerb::Read, "READ 1");
    const ConnectionId connection = fixture.pending().connection;
    STRCMP_EQUAL("BEGIN", fixture.pending().command.text.c_str());
    fixture.acknowledge(SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    CHECK_TRUE(connection == fixture.pending().connection);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    CHECK_TRUE(connection == fixture.pending().connection);
    fixture.succeed({1, 101});
    CHECK_TRUE(fixture.replies.back().result.succeeded());
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Idle);
}

TEST(StatementPooler, ATransactionThatLosesItsConnectionIsAborted) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    const ConnectionId connection = fixture.pending().connection;
    fixture.acknowledge(SessionState::InTransaction);
    fixture.pooler.onLost(connection);
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
    CHECK_TRUE(fixture.replies.back().result.state == SessionState::Failed);
    fixture.submit(session, StatementVerb::Rollback, "ROLLBACK");
    CHECK_TRUE(fixture.replies.back().result.succeeded());
}

TEST(StatementPooler, ACommitWhoseAnswerIsLostIsInDoubtOnlyIfItWrote) {
    for (const bool writes : {true, false}) {
        const SessionId session = fixture.session("current");
        fixture.submit(session, StatementVerb::Begin, "BEGIN");
        fixture.submit(session, writes ? StatementVerb::Write : StatementVerb::Read, "X 1");
        const ConnectionId connection = fixture.pending().connection;
        fixture.acknowledge(SessionState::InTransaction);
        fixture.succeed({1, 100}, SessionState::InTransaction);
        fixture.submit(session, StatementVerb::Commit, "COMMIT");
        fixture.connector.sent.clear();
        fixture.pooler.onLost(connection);
        CHECK_TRUE(hasFault(fixture.replies.back(),
                            writes ? StatementFault::InDoubt : StatementFault::Aborted));
        fixture.advance(milliseconds(50));
        fixture.openConnections();
    }
}

TEST(StatementPooler, AStatementOutsideATransactionNeverFollowsARefusedBegin) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.refuse(StatementFault::ReadOnly);
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
}

/**
 * Guards against a refused session being in the queue twice, so that its next statement would run
 * twice.
 */
TEST(StatementPooler, AStatementSentWithinARefusalRunsOnce) {
    // Opens two connections to the primary and leaves them idle.
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 2 a");
    fixture.openConnections();
    fixture.succeed();
    fixture.succeed();
    fixture.replies.clear();
    fixture.advance(milliseconds(600));
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.withinReply = [this, session] {
        fixture.submit(session, StatementVerb::Read, "READ 2");
    };
    // The refusal falls between two rounds of the pooler, in which queues are reviewed.
    fixture.advance(milliseconds(770));
    fixture.advance(milliseconds(25));
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Busy));
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    fixture.openConnections();
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    fixture.succeed();
    UNSIGNED_LONGS_EQUAL(2, fixture.replies.size());
}

TEST(StatementPooler, WritesOfAReplacedPrimaryRaiseNoSuspicionOfItsSuccessor) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.advance(milliseconds(100));
    fixture.announce("s2", 2);
    fixture.suspicions.clear();
    fixture.advance(milliseconds(650));
    fixture.advance(milliseconds(50));
    UNSIGNED_LONGS_EQUAL(0, fixture.suspicions.size());
}

TEST(StatementPooler, AnUnansweredWriteMakesItsPrimarySuspect) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    fixture.advance(milliseconds(750));
    CHECK(!fixture.suspicions.empty());
}

/**
 * A primary that resets each connection on which a statement is sent, as one did for 8 s, must
 * become suspect.
 */
TEST(StatementPooler, APrimaryThatBreaksEachConnectionBecomesSuspect) {
    for (int loss = 0; loss < 8; ++loss) {
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
        CHECK_TRUE(loss > 4 || fixture.suspicions.empty());
        const SessionId session = fixture.session("own");
        fixture.submit(session, StatementVerb::Set, "SET a b", "a", "b");
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        // The primary accepts the session's value, but does not respond to the statement.
        fixture.acknowledge();
        fixture.clock.advance(milliseconds(60));
        const ConnectionId broken = fixture.pending().connection;
        fixture.connector.sent.clear();
        fixture.pooler.onLost(broken);
        fixture.advance(milliseconds(30));
        fixture.openConnections();
    }
    CHECK_FALSE(fixture.suspicions.empty());
    CHECK_TRUE(fixture.suspicions[0] == SuspicionReason::StatementsLost);
}

TEST(StatementPooler, LostAnswersAmongOthersRaiseNoSuspicion) {
    for (int loss = 0; loss < 20; ++loss) {
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
        write("own");
        fixture.clock.advance(milliseconds(30));
        const ConnectionId broken = fixture.pending().connection;
        fixture.connector.sent.clear();
        fixture.pooler.onLost(broken);
        fixture.advance(milliseconds(30));
        fixture.openConnections();
        if (loss % 3 == 0) {
            write("own");
            fixture.succeed();
        }
    }
    CHECK_TRUE(fixture.suspicions.empty());
}

TEST(StatementPooler, ConnectionsThatAreResetAtOneMomentRaiseNoSuspicion) {
    for (int loss = 0; loss < 3; ++loss) {
        write("own");
    }
    std::vector<ConnectionId> broken;
    for (const SentCommand& sent : fixture.connector.sent) {
        broken.push_back(sent.connection);
    }
    fixture.connector.sent.clear();
    for (const ConnectionId connection : broken) {
        fixture.pooler.onLost(connection);
    }
    fixture.openConnections();
    fixture.advance(milliseconds(50));
    fixture.openConnections();
    fixture.advance(milliseconds(900));
    CHECK_TRUE(fixture.suspicions.empty());
}

TEST(StatementPooler, SendingToARefusingServerPausesForIncreasingTimes) {
    Duration lastPause{0};
    for (int refusal = 0; refusal < 5; ++refusal) {
        fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
        write("own");
        fixture.refuse(StatementFault::Busy);
        const TimePoint refusedAt = fixture.clock.now();
        // The second statement has no pause of its own, because it was not refused: only the
        // server's pause delays it.
        write("own");
        while (fixture.pendingCount() == 0) {
            fixture.advance(milliseconds(5));
        }
        const Duration pause = fixture.clock.now() - refusedAt;
        CHECK_TRUE(pause >= milliseconds(15));
        CHECK_TRUE(pause >= lastPause);
        CHECK_TRUE(pause <= milliseconds(180));
        lastPause = pause;
        while (fixture.pendingCount() > 0) {
            fixture.refuse(StatementFault::Busy);
        }
        fixture.advance(milliseconds(1000));
        while (fixture.pendingCount() > 0) {
            fixture.refuse(StatementFault::Busy);
        }
    }
    CHECK_TRUE(lastPause >= milliseconds(120));
}

TEST(StatementPooler, TheInitialLimitIsAShareOfTheServersCapacity) {
    // Three slots allow four statements in flight; with six executors each executor
    // starts with a limit of one statement.
    std::vector<ProxyNode> nodes;
    for (const char* name : {"n1", "n2", "n3", "n4", "n5"}) {
        nodes.push_back({NodeName(name), ZoneName(name), "10.0.0.1", 7000});
    }
    fixture.pooler.applyNodes(nodes);
    for (int round = 0; round < 4; ++round) {
        write("own");
        fixture.openConnections();
        fixture.advance(milliseconds(5));
    }
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
}

TEST(StatementPooler, ASuccessorTakesNoCommitBeforeTheLeaseHasPassed) {
    fixture.announce("s2", 2);
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    fixture.advance(kLeadershipLease - milliseconds(1));
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    fixture.advance(milliseconds(2));
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    STRCMP_EQUAL("s2", fixture.pending().server.value().c_str());
}

TEST(StatementPooler, UrgentStatementsGoFirst) {
    std::vector<SessionId> sessions;
    for (int index = 0; index < 12; ++index) {
        sessions.push_back(fixture.session("own"));
        fixture.submit(sessions.back(), StatementVerb::Write, "WRITE 1 a");
    }
    fixture.openConnections();
    const SessionId urgent = fixture.session("current");
    const std::string id = fixture.submit(urgent, StatementVerb::Write, "WRITE 2 b");
    const auto isUrgent = [&id](const SentCommand& sent) { return sent.command.id == id; };
    fixture.succeed();
    fixture.openConnections();
    const auto& sent = fixture.connector.sent;
    CHECK_TRUE(std::any_of(sent.begin(), sent.end(), isUrgent));
}

/** With two slots per server, an overload would otherwise delay all kinds of statements alike. */
TEST(StatementPooler, OnTimeStatementsAreOrderedByShortestSlotTime) {
    observeSlotTimes();
    const std::string occupying = write("own");
    std::vector<std::string> expensive;
    for (int index = 0; index < 6; ++index) {
        expensive.push_back(write("own"));
    }
    const std::string cheap = write("bounded");
    STRCMP_EQUAL(occupying.c_str(), fixture.pending().command.id.c_str());
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    fixture.succeed();
    STRCMP_EQUAL(cheap.c_str(), fixture.pending().command.id.c_str());
    fixture.succeed();
    STRCMP_EQUAL(expensive.front().c_str(), fixture.pending().command.id.c_str());
}

TEST(StatementPooler, ALateStatementYieldsRegardlessOfItsSlotTime) {
    observeSlotTimes();
    write("own");
    const std::string late = write("bounded");
    fixture.clock.advance(milliseconds(101));
    const std::string onTime = write("own");
    fixture.succeed();
    STRCMP_EQUAL(onTime.c_str(), fixture.pending().command.id.c_str());
    fixture.succeed();
    STRCMP_EQUAL(late.c_str(), fixture.pending().command.id.c_str());
}

/** A primary that loses one response in five must not make those reads time out. */
TEST(StatementPooler, AReadWhoseAnswerIsLostIsSentAgainWhileTheServerAnswersOthers) {
    const std::string lost =
        fixture.submit(fixture.session("current"), StatementVerb::Read, "READ 1");
    const ConnectionId connection = fixture.pending().connection;
    fixture.connector.sent.clear();
    for (int step = 0; step < 4; ++step) {
        fixture.advance(milliseconds(50));
        fixture.openConnections();
        if (fixture.pendingCount() > 0) {
            break;
        }
        write("current");
        fixture.openConnections();
        fixture.succeed();
    }
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    STRCMP_EQUAL(lost.c_str(), fixture.pending().command.id.c_str());
    CHECK_FALSE(fixture.pending().connection == connection);
    fixture.succeed();
    CHECK_FALSE(fixture.replies.back().result.error.has_value());
    fixture.advance(milliseconds(601));
    fixture.advance(milliseconds(60));
    const std::vector<ConnectionId>& closed = fixture.connector.closed;
    CHECK_TRUE(std::find(closed.begin(), closed.end(), connection) != closed.end());
}

/**
 * After a power loss former connections still count at the servers: nodes that open more than one
 * connection at once can leave other nodes without any for 2 s.
 */
TEST(StatementPooler, AfterAStartANodeOpensOneConnectionToEachServer) {
    PoolerKnobs knobs;
    knobs.node = NodeName("n0");
    knobs.zone = ZoneName("z1");
    ScriptedConnector connector;
    StatementPooler pooler(fixture.clock, connector, fixture, knobs);
    pooler.applyDirectory(fixture.directory);
    pooler.onTick();
    UNSIGNED_LONGS_EQUAL(3, connector.opening.size());
    const std::vector<ConnectionId> opening = std::move(connector.opening);
    connector.opening.clear();
    for (const ConnectionId id : opening) {
        pooler.onOpened(id, OpTime{1, 1});
    }
    auto catalog = std::make_shared<ServiceCatalog>();
    catalog->services[ServiceName("current")] = {fixture.group, settings::ServiceSettings{}};
    catalog->groups[fixture.group] = settings::GroupSettings{};
    pooler.applyCatalog(catalog);
    pooler.applyProof({fixture.clock.now(), {}, 0});
    for (int index = 0; index < 2; ++index) {
        Statement write;
        write.id = std::to_string(index);
        write.verb = StatementVerb::Write;
        write.text = "WRITE 1 a";
        pooler.submit(pooler.openSession(ServiceName("current")), write);
    }
    UNSIGNED_LONGS_EQUAL(1, connector.sent.size());
    UNSIGNED_LONGS_EQUAL(0, connector.opening.size());
    fixture.clock.advance(knobs.singleConnectionFor);
    pooler.onTick();
    UNSIGNED_LONGS_EQUAL(1, connector.opening.size());
}

TEST(StatementPooler, ASessionOfARemovedServiceIsRefusedAndClosed) {
    const SessionId session = fixture.session("current");
    fixture.pooler.applyCatalog(std::make_shared<ServiceCatalog>());
    fixture.submit(session, StatementVerb::Read, "READ 1");
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::UnknownDatabase));
    UNSIGNED_LONGS_EQUAL(1, fixture.closedSessions.size());
}

TEST(StatementPooler, ATransactionIdleForTooLongIsRolledBack) {
    const SessionId session = fixture.session("current");
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.acknowledge(SessionState::InTransaction);
    fixture.succeed({1, 100}, SessionState::InTransaction);
    const std::size_t before = fixture.replies.size();
    fixture.advance(milliseconds(1100));
    UNSIGNED_LONGS_EQUAL(before, fixture.replies.size());
    CHECK_TRUE(fixture.pending().command.kind == ServerCommand::Kind::Rollback);
    fixture.submit(session, StatementVerb::Read, "READ 2");
    CHECK_TRUE(hasFault(fixture.replies.back(), StatementFault::Aborted));
}

TEST(StatementPooler, EachNodeLeavesConnectionsForARestart) {
    // Ten executors including this node, which is in z1: two in each of five zones.
    const std::vector<std::string> zones{"z0", "z0", "z1", "z2", "z2", "z3", "z3", "z4", "z4"};
    std::vector<ProxyNode> nodes;
    for (const std::string& zone : zones) {
        const std::string name = "n" + std::to_string(nodes.size() + 1);
        nodes.push_back({NodeName(name), ZoneName(zone), "10.0.0.1", 7000});
    }
    fixture.pooler.applyNodes(nodes);
    std::vector<SessionId> sessions;
    for (int index = 0; index < 8; ++index) {
        sessions.push_back(fixture.session("current"));
        fixture.submit(sessions.back(), StatementVerb::Write, "WRITE 1 a");
        fixture.openConnections();
    }
    // 30 connections of the server for 10 executors: three for each, of which one is kept free.
    UNSIGNED_LONGS_EQUAL(2, fixture.pendingCount());
}

/** A review that is due immediately would keep the event loop busy until the promotion is over. */
TEST(StatementPooler, AWriteThatWaitsForAPromotionSchedulesNoImmediateTick) {
    PromotionNotice notice;
    notice.phase = PromotionPhase::Preparing;
    notice.version.revision = 5;
    fixture.advance(milliseconds(2000));
    fixture.pooler.applyNotice(fixture.group, notice);
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE k v");
    for (int look = 0; look < 20; ++look) {
        fixture.pooler.onTick();
        CHECK_TRUE(*fixture.pooler.nextTick() > fixture.clock.now());
    }
}

/**
 * The primary answers status requests, and a primary that is suspected only of silence is kept if
 * it does so. The reason must therefore change.
 */
TEST(StatementPooler, APrimaryThatLeavesWritesUnansweredIsNotTakenForSilent) {
    fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE k v");
    fixture.advance(milliseconds(600));
    CHECK_FALSE(fixture.suspicions.empty());
    CHECK_TRUE(fixture.suspicions.back() == SuspicionReason::Silent);
    fixture.advance(milliseconds(150));
    CHECK_TRUE(fixture.suspicions.back() == SuspicionReason::WritesUnanswered);
}

TEST(StatementPooler, WritesThatFailEjectNoPrimary) {
    for (int write = 0; write < 12; ++write) {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE k v");
        fixture.refuse(StatementFault::Failed);
    }
    UNSIGNED_LONGS_EQUAL(0, fixture.pooler.statistics().serversEjected);
}

}  // namespace
}  // namespace coralhoist::pooling
