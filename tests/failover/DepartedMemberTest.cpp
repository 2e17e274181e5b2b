/**
 * Members that have left count for commits until their logs are bounded.
 *
 * A commit is on two servers. When one of them ends and the other one does not respond, a replica
 * that received nothing meanwhile may be the only server that responds.
 */
#include <CppUTest/TestHarness.h>

#include "FailoverFixture.h"

namespace coralhoist::pooled {
namespace {

using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(DepartedMember){
    /** The first server leads, the second one leaves and the third one stays. */
    static void leaveAsPlanned(FailoverFixture & fixture){fixture.server(1).draining = true;
fixture.run(seconds(2));
fixture.group.leave(fixture.server(1));
}  // namespace

/** The server says nothing to anybody and nothing reaches it; it keeps its log. */
static void setDark(FailoverFixture& fixture, LogServer& server, bool dark) {
    fixture.group.setIsolated(server.name, dark);
    for (FailoverNode& node : fixture.nodes) {
        if (dark) {
            node.connector->faults().cut.insert(server.name);
        } else {
            node.connector->faults().cut.erase(server.name);
        }
    }
}

/** Runs while every node reports the first server as silent. */
static void runSuspecting(FailoverFixture& fixture, Duration span) {
    for (Duration past{0}; past < span; past += milliseconds(100)) {
        for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
            if (fixture.nodes[node].primary) {
                fixture.suspect(node, SuspicionReason::Silent);
            }
        }
        fixture.run(milliseconds(100));
    }
}

/** Commits that the third server lacks, the planned end of the second one, a dark primary. */
static void loseBothHolders(FailoverFixture& fixture, Duration betweenEndAndDark) {
    fixture.commit(11);
    fixture.server(2).deaf = true;
    fixture.commit(40);
    leaveAsPlanned(fixture);
    fixture.run(betweenEndAndDark);
    setDark(fixture, fixture.server(0), true);
    fixture.server(2).deaf = false;
}

static bool hasLost(FailoverFixture& fixture) {
    return !fixture.judge.violations().empty();
}
};  // namespace coralhoist::pooled

/**
 * Guards against a promotion that counts a member out 10 s after its planned end, although it and
 * the silent primary alone have commits.
 */
TEST(DepartedMember, AReplicaWithoutTheCommitsOfAMemberThatLeftDoesNotLead) {
    for (const int pause : {100, 2500, 4600, 9000}) {
        FailoverFixture fixture;
        loseBothHolders(fixture, milliseconds(pause));
        runSuspecting(fixture, seconds(20));
        CHECK_FALSE(fixture.server(2).primary);
        CHECK_FALSE(hasLost(fixture));
        setDark(fixture, fixture.server(0), false);
        fixture.run(seconds(4));
        UNSIGNED_LONGS_EQUAL(51, fixture.group.finalCommits().size());
        CHECK_FALSE(hasLost(fixture));
    }
}

/** Guards against two nodes of which one counts the member that left and the other does not. */
TEST(DepartedMember, NodesThatStartAfterTheEndCountTheMember) {
    for (const int pause : {100, 4600}) {
        FailoverFixture fixture(2);
        loseBothHolders(fixture, milliseconds(pause));
        fixture.unlisted.insert(fixture.server(1).name);
        fixture.restart(0);
        fixture.restart(1);
        runSuspecting(fixture, seconds(20));
        CHECK_FALSE(fixture.server(2).primary);
        CHECK_FALSE(hasLost(fixture));
    }
}

/** Guards against a group that waits for ever although the replica that stays has every commit. */
TEST(DepartedMember, AReplicaWithAllCommitsLeadsAfterAPlannedEnd) {
    for (const int pause : {3000, 8000, 30000}) {
        FailoverFixture fixture(2);
        fixture.commit(30);
        leaveAsPlanned(fixture);
        fixture.commit(5);
        fixture.run(milliseconds(pause));
        setDark(fixture, fixture.server(0), true);
        runSuspecting(fixture, seconds(12));
        CHECK_TRUE(fixture.server(2).primary);
        CHECK_FALSE(hasLost(fixture));
    }
}

/** Guards against a member that was lost without an announcement and is never counted out. */
TEST(DepartedMember, AReplicaLostForGoodIsBoundedByTheLeadersLog) {
    FailoverFixture fixture(2);
    fixture.commit(30);
    fixture.group.leave(fixture.server(1));
    fixture.commit(5);
    fixture.run(seconds(14));
    CHECK_EQUAL(1, static_cast<int>(fixture.record().departed.size()));
    CHECK_TRUE(fixture.record().departedBound >= (OpTime{1, 35}));
    fixture.restart(0);
    fixture.restart(1);
    fixture.run(seconds(5));
    setDark(fixture, fixture.server(0), true);
    runSuspecting(fixture, seconds(3));
    CHECK_TRUE(fixture.server(2).primary);
    CHECK_FALSE(hasLost(fixture));
}

/** Guards against a bound that outlives the end of a server which starts again and receives. */
TEST(DepartedMember, AServerThatReturnsCountsAgain) {
    FailoverFixture fixture;
    fixture.commit(10);
    const ServerName name = fixture.server(1).name;
    fixture.group.crash(fixture.server(1));
    fixture.removed[name] = fixture.queue.now();
    fixture.run(seconds(3));
    CHECK_EQUAL(1, static_cast<int>(fixture.record().departed.size()));
    fixture.group.restart(fixture.server(1));
    fixture.removed.erase(name);
    fixture.server(2).deaf = true;
    fixture.run(seconds(2));
    CHECK_TRUE(fixture.record().departed.empty());
    fixture.commit(20);
    fixture.group.leave(fixture.server(1));
    setDark(fixture, fixture.server(0), true);
    fixture.server(2).deaf = false;
    runSuspecting(fixture, seconds(20));
    CHECK_FALSE(fixture.server(2).primary);
    CHECK_FALSE(hasLost(fixture));
}

}  // namespace
}  // namespace coralhoist::pooled
