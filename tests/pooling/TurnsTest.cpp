/**
 * Order of service among tenants, ranks and services when the load exceeds the servers' capacity.
 */
#include <CppUTest/TestHarness.h>

#include <memory>

#include "PoolerFixture.h"

namespace coralhoist::pooling {
namespace {

constexpr std::size_t kFlood = 30;
/**
 * Number of statements by which a flow may be ahead and still count as served equally: 50 ms of
 * unknown slot times.
 */
constexpr std::size_t kEqualTurns = 3;

TEST_GROUP(Turns) {
    PoolerFixture fixture;

    /** Applies two services of the ranks after the first, with the fixture's groupSettings. */
    void applyRanks() {
        auto catalog = std::make_shared<ServiceCatalog>();
        settings::ServiceSettings service;
        service.rank = 1;
        catalog->services[ServiceName("second")] = {fixture.group, service};
        service.rank = 2;
        catalog->services[ServiceName("third")] = {fixture.group, service};
        catalog->groups[fixture.group] = fixture.groupSettings;
        fixture.pooler.applyCatalog(catalog);
    }

    SessionId write(const char* service, const char* tenant) {
        const SessionId session =
            fixture.pooler.openSession(ServiceName(service), TenantName(tenant));
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
        fixture.openConnections();
        return session;
    }

    void flood(const char* service, const char* tenant) {
        for (std::size_t index = 0; index < kFlood; ++index) {
            write(service, tenant);
        }
    }

    /**
     * Answers the commands sent to the primary, one after the other, until the session has its
     * reply.
     * @return the number of replies before that one.
     */
    std::size_t repliesBefore(SessionId session) {
        const std::size_t before = fixture.replies.size();
        while (fixture.pendingCount() > 0) {
            fixture.succeed();
            fixture.openConnections();
            if (fixture.replies.back().session == session) {
                break;
            }
        }
        return fixture.replies.size() - before - 1;
    }
};

TEST(Turns, AFloodOfOneTenantDoesNotDelayAnother) {
    fixture.pooler.setCallersHaveTenants(true);
    flood("current", "flood");
    const std::size_t sent = fixture.pendingCount();
    const SessionId session = write("current", "other");
    // One statement is served while the tenant's connection is being opened.
    LONGS_EQUAL(sent + kEqualTurns + 1, repliesBefore(session));
}

TEST(Turns, AFloodOfARankLeavesTheNextItsMinimumShare) {
    fixture.groupSettings.minimumShare = 20;
    applyRanks();
    flood("second", "");
    const std::size_t sent = fixture.pendingCount();
    const SessionId session = write("third", "");
    // The minimum share of 20% reserves one statement in five for the third rank.
    LONGS_EQUAL(sent + 5, repliesBefore(session));
}

TEST(Turns, WithoutAMinimumShareAFloodOfARankGoesFirst) {
    applyRanks();
    flood("second", "");
    LONGS_EQUAL(kFlood, repliesBefore(write("third", "")));
}

TEST(Turns, ServicesTakeTurnsWhereTheOperatorAsksForIt) {
    fixture.groupSettings.fairServices = true;
    fixture.applySettings();
    flood("bounded", "");
    const std::size_t sent = fixture.pendingCount();
    const SessionId session = write("own", "");
    LONGS_EQUAL(sent + kEqualTurns, repliesBefore(session));
}

TEST(Turns, OtherwiseServicesGoInTheOrderOfArrival) {
    flood("bounded", "");
    const SessionId session = write("own", "");
    LONGS_EQUAL(kFlood, repliesBefore(session));
}

TEST(Turns, StatementsThatWaitAreCountedByRank) {
    flood("current", "");
    const std::size_t sent = fixture.pendingCount();
    write("own", "");
    LONGS_EQUAL(kFlood - sent, fixture.pooler.waitingByRank()[0]);
    LONGS_EQUAL(1, fixture.pooler.waitingByRank()[1]);
}

}  // namespace
}  // namespace coralhoist::pooling
