/** How long statements are held, and how retries after a refusal are queued. */
#include <CppUTest/TestHarness.h>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** Holding time: the fixture's timeout of 800 ms less the time that a statement takes. */
constexpr Duration kHeld = milliseconds(785);

}  // namespace

TEST_GROUP(Admission) {
    PoolerFixture fixture;

    SessionId read(const char* text = "READ 1") {
        const SessionId session = fixture.session("current");
        fixture.submit(session, StatementVerb::Read, text);
        return session;
    }
    /**
     * Submits a read of a unit whose caller sent the first request 400 ms ago at the forwarding
     * node.
     */
    void readForwarded(Duration timeout, std::optional<Duration> usefulFor) {
        UnitOpening opening;
        opening.service = ServiceName("current");
        opening.group = fixture.group;
        opening.settings.statementTimeout = timeout;
        opening.settings.latencyObjective = milliseconds(200);
        opening.waited = milliseconds(400);
        opening.usefulFor = usefulFor;
        const SessionId unit = fixture.pooler.openUnit(opening);
        UnitStatement statement;
        statement.statement.verb = StatementVerb::Read;
        statement.statement.text = "READ 1";
        fixture.pooler.submitUnit(unit, statement);
    }
    /**
     * Submits a read that is refused, because no read can be served without a proof of leadership.
     */
    SessionId submitRefusedRead() {
        fixture.advance(milliseconds(600));
        const SessionId session = read();
        fixture.advance(kHeld);
        UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
        return session;
    }
    /** Submits a read of the session. @return the time until it is refused. */
    Duration holdingTimeOf(SessionId session, const char* text) {
        const std::size_t before = fixture.replies.size();
        fixture.submit(session, StatementVerb::Read, text);
        Duration held(0);
        while (fixture.replies.size() == before && held < std::chrono::seconds(2)) {
            fixture.advance(milliseconds(5));
            held += milliseconds(5);
        }
        return held;
    }
};

TEST(Admission, ARetryIsHeldForItsRemainingTime) {
    const SessionId session = submitRefusedRead();
    fixture.advance(milliseconds(10));
    // The retry is held until 10% beyond the timeout, less the time that a statement takes.
    CHECK_TRUE(holdingTimeOf(session, "READ 1") <= milliseconds(70));
    UNSIGNED_LONGS_EQUAL(1, fixture.pooler.statistics().retriesAfterRefusal);
}

TEST(Admission, ADifferentStatementIsNotARetry) {
    const SessionId session = submitRefusedRead();
    CHECK_TRUE(holdingTimeOf(session, "READ 2") >= kHeld);
    UNSIGNED_LONGS_EQUAL(0, fixture.pooler.statistics().retriesAfterRefusal);
}

TEST(Admission, TheRecordOfARefusalExpires) {
    const SessionId session = submitRefusedRead();
    fixture.advance(milliseconds(900));
    CHECK_TRUE(holdingTimeOf(session, "READ 1") >= kHeld);
}

TEST(Admission, ASuccessClearsTheRecordOfARefusal) {
    const SessionId session = submitRefusedRead();
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.succeed();
    fixture.advance(milliseconds(600));
    CHECK_TRUE(holdingTimeOf(session, "READ 1") >= kHeld);
}

TEST(Admission, AUnitIsTimedFromTheFirstRequestAtTheForwardingNode) {
    fixture.advance(milliseconds(600));
    readForwarded(milliseconds(800), std::nullopt);
    fixture.advance(milliseconds(380));
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
    fixture.advance(milliseconds(5));
    UNSIGNED_LONGS_EQUAL(1, fixture.replies.size());
}

/**
 * The time spent at another executor is counted once: it shortens the useful time and is not
 * counted as waiting time too.
 */
TEST(Admission, AUnitFromAnotherExecutorIsHeldForItsRemainingTime) {
    fixture.advance(milliseconds(600));
    readForwarded(milliseconds(380), milliseconds(380));
    fixture.advance(milliseconds(300));
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
}

TEST(Admission, ALateRetryIsHeldForTheTimeThatAProofTakes) {
    const SessionId session = submitRefusedRead();
    fixture.advance(milliseconds(980));
    const std::size_t before = fixture.replies.size();
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.advance(milliseconds(30));
    UNSIGNED_LONGS_EQUAL(before, fixture.replies.size());
}

TEST(Admission, ADisconnectedCallerIsRemovedFromTheQueueAtOnce) {
    std::vector<SessionId> sessions;
    sessions.reserve(8);
    for (int index = 0; index < 8; ++index) {
        sessions.push_back(read());
    }
    fixture.openConnections();
    const std::size_t running = fixture.pendingCount();
    CHECK_TRUE(running < sessions.size());
    for (const SessionId session : sessions) {
        fixture.pooler.endSession(session);
    }
    while (fixture.pendingCount() > 0) {
        fixture.succeed();
    }
    fixture.advance(milliseconds(100));
    UNSIGNED_LONGS_EQUAL(0, fixture.pendingCount());
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
}

TEST(Admission, StatementsForAStalledServerAreRefusedBeforeTheirTimeout) {
    for (int index = 0; index < 60; ++index) {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    }
    fixture.openConnections();
    for (int round = 0; round < 40; ++round) {
        fixture.advance(milliseconds(10));
    }
    CHECK_TRUE(fixture.pooler.statistics().refusedByForecast > 0);
    CHECK_FALSE(fixture.replies.empty());
    for (const RecordedReply& reply : fixture.replies) {
        CHECK_TRUE(reply.result.error->fault == StatementFault::Busy);
        CHECK_TRUE(reply.result.error->retryAfter > milliseconds(300));
    }
}

TEST(Admission, BeforeAnyWaitNothingIsRefusedByForecast) {
    for (int index = 0; index < 60; ++index) {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
    }
    fixture.openConnections();
    fixture.advance(milliseconds(10));
    UNSIGNED_LONGS_EQUAL(0, fixture.pooler.statistics().refusedByForecast);
    UNSIGNED_LONGS_EQUAL(0, fixture.replies.size());
}

}  // namespace coralhoist::pooling
