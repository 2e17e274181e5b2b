#include <CppUTest/TestHarness.h>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** Server s1 is the primary, in this node's own zone; s2 and s3 are replicas in other zones. */
TEST_GROUP(UnevenServers) {
    PoolerFixture fixture;

    const PoolerStatistics& statistics() const {
        return fixture.pooler.statistics();
    }

    /** @return a session whose commit was given this position. */
    SessionId committed(LogPosition position) {
        const SessionId session = fixture.session("own");
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        fixture.succeed({1, position});
        return session;
    }

    void read(SessionId session) {
        fixture.submit(session, StatementVerb::Read, "READ 1");
        fixture.openConnections();
    }

    /** Occupies the primary with unanswered writes, so that it has no capacity. */
    void saturatePrimary() {
        for (int index = 0; index < 4; ++index) {
            fixture.submit(fixture.session("bounded"), StatementVerb::Write, "WRITE 1 a");
            fixture.openConnections();
        }
        LONGS_EQUAL(4, sentTo("s1"));
    }

    std::size_t sentTo(const std::string& server) const {
        std::size_t count = 0;
        for (const SentCommand& sent : fixture.connector.sent) {
            count += sent.server == ServerName(server) ? 1 : 0;
        }
        return count;
    }

    std::size_t sentToReplicas() const {
        return sentTo("s2") + sentTo("s3");
    }

    /** Lets a replica refuse the first command it was sent and report its position. */
    void refuseAt(const std::string& server, LogPosition position) {
        std::vector<SentCommand>& sent = fixture.connector.sent;
        for (auto entry = sent.begin(); entry != sent.end(); ++entry) {
            if (entry->server == ServerName(server)) {
                const ConnectionId connection = entry->connection;
                sent.erase(entry);
                StatementResult result;
                result.error = StatementError{StatementFault::Lagging, "behind"};
                result.position = {1, position};
                fixture.pooler.onResult(connection, result);
                fixture.openConnections();
                return;
            }
        }
        FAIL("nothing was sent to the server");
    }

    /** Lets the primary fail reads until it is ejected. */
    void ejectPrimary() {
        committed(100);
        for (int index = 0; index < 10; ++index) {
            read(fixture.session("bounded"));
            STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
            fixture.refuse(StatementFault::Failed);
        }
        fixture.advance(milliseconds(50));
        LONGS_EQUAL(1, statistics().serversEjected);
    }
};

TEST(UnevenServers, AReadWaitsForAReplicaThatWillSoonHaveItsPosition) {
    const SessionId early = committed(180);
    fixture.advance(milliseconds(50));
    const SessionId late = committed(200);
    fixture.advance(milliseconds(50));
    saturatePrimary();
    read(late);
    refuseAt("s2", 150);
    refuseAt("s3", 150);
    read(early);
    LONGS_EQUAL(0, sentToReplicas());
    LONGS_EQUAL(1, statistics().waitedForReplica);
    fixture.advance(milliseconds(10));
    LONGS_EQUAL(1, sentToReplicas());
    LONGS_EQUAL(4, sentTo("s1"));
}

TEST(UnevenServers, APrimaryWithRoomServesAReadThatWouldWaitForAReplica) {
    const SessionId session = committed(180);
    fixture.advance(milliseconds(50));
    read(session);
    LONGS_EQUAL(1, sentTo("s1"));
    LONGS_EQUAL(0, statistics().waitedForReplica);
}

TEST(UnevenServers, OfManyReadsOneAsksAReplicaThatLacksTheirPosition) {
    std::vector<SessionId> sessions;
    sessions.reserve(6);
    for (int index = 0; index < 6; ++index) {
        sessions.push_back(committed(200));
    }
    fixture.advance(milliseconds(50));
    saturatePrimary();
    read(sessions.back());
    sessions.pop_back();
    refuseAt("s2", 150);
    refuseAt("s3", 150);
    for (const SessionId session : sessions) {
        read(session);
    }
    LONGS_EQUAL(0, sentToReplicas());
    fixture.advance(milliseconds(60));
    LONGS_EQUAL(1, sentTo("s2"));
    LONGS_EQUAL(1, sentTo("s3"));
    refuseAt("s2", 150);
    refuseAt("s3", 150);
    fixture.advance(milliseconds(60));
    LONGS_EQUAL(0, sentToReplicas());
}

TEST(UnevenServers, AReplicaThatHasCaughtUpIsAskedAgainAtOnce) {
    const SessionId first = committed(200);
    const SessionId second = committed(200);
    fixture.advance(milliseconds(50));
    saturatePrimary();
    read(first);
    refuseAt("s2", 150);
    refuseAt("s3", 210);
    // The refusal of s3 reported a position that has been reached in the meantime.
    read(second);
    LONGS_EQUAL(0, sentTo("s2"));
    LONGS_EQUAL(1, sentTo("s3"));
}

TEST(UnevenServers, APrimaryThatFailsReadsRunsOnlyWhatNoOtherCan) {
    ejectPrimary();
    read(fixture.session("bounded"));
    LONGS_EQUAL(0, sentTo("s1"));
    LONGS_EQUAL(1, sentToReplicas());
    fixture.submit(fixture.session("bounded"), StatementVerb::Write, "WRITE 1 a");
    LONGS_EQUAL(1, sentTo("s1"));
}

TEST(UnevenServers, AServerEjectedWronglyServesAgain) {
    ejectPrimary();
    fixture.advance(milliseconds(500));
    for (int index = 0; index < 5; ++index) {
        read(fixture.session("bounded"));
        STRCMP_EQUAL("s1", fixture.pending().server.value().c_str());
        fixture.succeed();
    }
    fixture.advance(milliseconds(50));
    LONGS_EQUAL(1, statistics().serversAdmitted);
}

TEST(UnevenServers, AServerThatStartsAgainElsewhereBeginsAnew) {
    ejectPrimary();
    ServerAnnouncement announcement;
    announcement.address = {fixture.group, ServerName("s1"), "10.0.0.9", 1};
    announcement.zone = ZoneName("z1");
    announcement.slots = 3;
    announcement.role = ServerRole::Primary;
    announcement.version.revision = 99;
    fixture.directory.put(announcement, fixture.clock.now());
    fixture.pooler.applyDirectory(fixture.directory);
    fixture.openConnections();
    read(fixture.session("bounded"));
    LONGS_EQUAL(1, sentTo("s1"));
}

}  // namespace
}  // namespace coralhoist::pooling
