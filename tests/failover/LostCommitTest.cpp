/**
 * Acknowledged commits must not be missing in the log of a promoted server.
 *
 * On overloaded servers, whose responses took 100 to 1,100 ms, promotions could lose commits that a
 * known replica had. Three servers are involved: the record's successor, the replica that
 * acknowledged the commits, and the server that is promoted.
 */
#include <CppUTest/TestHarness.h>

#include "FailoverFixture.h"

namespace coralhoist::pooled {
namespace {

using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCommitsOfAll = 11;
constexpr std::size_t kCommitsOfOne = 51;

TEST_GROUP(LostCommit) {
    FailoverFixture fixture;

    void crashThePrimary() {
        fixture.group.crash(fixture.server(0));
        fixture.suspect(0, SuspicionReason::Unreachable);
    }

    /** The first node claims the record; no node reaches the server with the longest log. */
    static void claimWhileLongestLogIsUnreachable(FailoverFixture & several) {
        several.commit(kCommitsOfAll);
        several.server(2).deaf = true;
        several.commit(kCommitsOfOne);
        for (FailoverNode& node : several.nodes) {
            node.connector->faults().cut.insert(several.server(1).name);
        }
        several.group.crash(several.server(0));
        several.suspect(0, SuspicionReason::Unreachable);
        while (several.record().phase == PromotionPhase::None) {
            several.run(milliseconds(2));
        }
    }
};

/**
 * Guards against a choice that ignores a replica whose response is late. The primary crashes; the
 * replica with the longest log has no free slot and responds late, the one with the shorter log
 * responds at once. A choice that compares only reports requested less than 400 ms ago promotes the
 * shorter log, for example with response times of 200 ms and of 410 to 490 ms.
 */
TEST(LostCommit, AServerThatRespondsLateIsNotIgnored) {
    for (const int delay : {0, 100, 200, 300, 350, 380, 410, 450, 490, 700, 1100}) {
        FailoverFixture slow;
        slow.commit(kCommitsOfAll);
        slow.server(2).deaf = true;
        slow.commit(kCommitsOfOne);
        slow.server(1).orderDelay = milliseconds(delay);
        slow.group.crash(slow.server(0));
        slow.suspect(0, SuspicionReason::Unreachable);
        slow.run(seconds(12));
        CHECK_TRUE(slow.server(1).primary);
        UNSIGNED_LONGS_EQUAL(0, slow.judge.violations().size());
    }
}

/**
 * Guards against a primary of an older term that is taken for the former primary. The first primary
 * is isolated and continues to lead its term, while a successor leads the next term. Then a node
 * reaches the first primary again and loses the successor, which still serves. If any server that
 * reports to lead, in any term, is taken for the former primary, its stepping down makes the
 * unreachable successor count as harmless.
 */
TEST(LostCommit, AnOldPrimaryDoesNotHideTheOneThatLeads) {
    fixture.commit(kCommitsOfAll);
    LogServer& old = fixture.server(0);
    fixture.group.setIsolated(old.name, true);
    fixture.nodes[0].connector->faults().cut.insert(old.name);
    fixture.suspect(0, SuspicionReason::Silent);
    fixture.run(seconds(5));
    LogServer& leader = fixture.server(1).primary ? fixture.server(1) : fixture.server(2);
    LogServer& other = fixture.server(1).primary ? fixture.server(2) : fixture.server(1);
    CHECK_TRUE(leader.primary);
    fixture.commit(20);
    fixture.nodes[0].connector->faults().cut.erase(old.name);
    fixture.nodes[0].connector->faults().cut.insert(leader.name);
    fixture.group.setIsolated(old.name, false);
    other.deaf = true;
    fixture.suspect(0, SuspicionReason::Silent);
    fixture.commit(240);
    fixture.run(seconds(6));
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
}

/**
 * Guards against two nodes that drive one promotion. A node claims the record, waits for a server
 * that does not respond, and writes the record again every 0.9 s. If such a write changes no
 * content, the version stays, and after 3.3 s a second node takes the record for abandoned and
 * promotes. The first node must not continue under the version that its watch shows, because that
 * version stands for the other node's claim.
 */
TEST(LostCommit, OneNodeDrivesAPromotionAtATime) {
    FailoverFixture two(2);
    claimWhileLongestLogIsUnreachable(two);
    const std::string holder = two.record().holder;
    for (int step = 0; step < 800; ++step) {
        two.run(milliseconds(10));
        CHECK_EQUAL(holder, two.record().holder);
        CHECK_TRUE(two.failover(1).isIdle());
    }
    for (FailoverNode& node : two.nodes) {
        node.connector->faults().cut.clear();
    }
    two.run(seconds(4));
    CHECK_TRUE(two.server(1).primary);
    UNSIGNED_LONGS_EQUAL(0, two.judge.violations().size());
}

/**
 * Guards against a node that continues under the version of another node's claim. A node in the
 * securing phase cannot write to the store; a second node takes over the record, which has not been
 * renewed for 3.3 s; the first node sees the takeover on its watch and must stop.
 */
TEST(LostCommit, ANodeWhoseRecordWasTakenOverStops) {
    FailoverFixture two(2);
    claimWhileLongestLogIsUnreachable(two);
    two.nodes[0].client->setCut(true);
    while (two.record().holder != "n2/1") {
        two.run(milliseconds(2));
    }
    two.nodes[0].client->setCut(false);
    two.run(milliseconds(20));
    CHECK_TRUE(two.failover(0).isIdle());
    for (FailoverNode& node : two.nodes) {
        node.connector->faults().cut.clear();
    }
    two.run(seconds(4));
    UNSIGNED_LONGS_EQUAL(0, two.failover(0).promotions());
    UNSIGNED_LONGS_EQUAL(1, two.failover(1).promotions());
    CHECK_TRUE(two.server(1).primary);
    UNSIGNED_LONGS_EQUAL(0, two.judge.violations().size());
}

/**
 * Guards against a node that takes the servers of its first lists for the whole group. A replica is
 * cut off from the store, so that its announcement expires while it receives and counts for
 * commits; a node starts that has never seen the replica; the primary ends. In such a case a node
 * that had been running for 4 s promoted a server at position 1.37 while a replica without an
 * announcement had 2.40.
 */
TEST(LostCommit, ANodeThatStartsDoesNotTakeItsListForTheGroup) {
    fixture.commit(kCommitsOfAll);
    crashThePrimary();
    fixture.run(seconds(2));
    LogServer& leader = fixture.server(1).primary ? fixture.server(1) : fixture.server(2);
    LogServer& other = fixture.server(1).primary ? fixture.server(2) : fixture.server(1);
    LogServer& lapsed = fixture.server(0);
    fixture.group.restart(lapsed);
    fixture.run(seconds(3));
    other.deaf = true;
    fixture.commit(20);
    fixture.unlisted.insert(lapsed.name);
    fixture.restart(0);
    fixture.run(milliseconds(10));
    fixture.group.crash(leader);
    fixture.suspect(0, SuspicionReason::Unreachable);
    fixture.run(seconds(8));
    fixture.unlisted.clear();
    fixture.run(seconds(4));
    UNSIGNED_LONGS_EQUAL(0, fixture.judge.violations().size());
    CHECK_TRUE(lapsed.primary);
}

}  // namespace
}  // namespace coralhoist::pooled
