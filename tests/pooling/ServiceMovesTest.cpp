/** A session that stays open while its service moves to another group and back. */
#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>

#include "PoolerFixture.h"
#include "ScriptedForwarder.h"
#include "pooling/OwnCommitFloors.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kOwnPosition = 500;

}  // namespace

TEST_GROUP(ServiceMoves) {
    PoolerFixture fixture;
    ScriptedForwarder forwarder;
    SessionId session;

    /** An earlier commit, so that a read may run at a position below those of the test. */
    void setup() override {
        fixture.submit(fixture.session("current"), StatementVerb::Write, "WRITE 1 a");
        fixture.succeed({1, 100});
        fixture.advance(milliseconds(100));
        session = fixture.session("own");
    }

    /** Moves the service of the session; the session learns of it with its next statement. */
    void moveTo(const std::string& group) {
        auto catalog = std::make_shared<ServiceCatalog>(*fixture.pooler.catalog());
        catalog->services.at(ServiceName("own")).group = GroupName(group);
        catalog->groups.try_emplace(GroupName(group));
        fixture.pooler.applyCatalog(catalog);
    }

    /** From now on other nodes execute the statements. */
    void forwardAll() {
        fixture.pooler.setForwarder(forwarder);
        std::vector<ProxyNode> nodes;
        for (int index = 1; index < 20; ++index) {
            nodes.push_back(
                {NodeName("n" + std::to_string(index)), ZoneName("z1"), "10.0.0.1", 7000});
        }
        fixture.pooler.applyNodes(nodes);
    }

    void write() {
        fixture.submit(session, StatementVerb::Write, "WRITE 1 a");
    }

    const UnitOpening& readForwarded() {
        fixture.submit(session, StatementVerb::Read, "READ 1");
        return *forwarder.sent.back().opening;
    }

    void answerUnit(OpTime ownFloor) {
        UnitResult result;
        result.result.signature = "sig";
        result.ownFloor = ownFloor;
        fixture.pooler.onUnitResult(forwarder.sent.back().unit, result);
    }
};

/** Guards against a session that forgets its commits in a group when its service moves away: on its
 * return it read from a replica that lacked them. */
TEST(ServiceMoves, ASessionReadsItsCommitsAfterItsServiceHasReturned) {
    write();
    fixture.succeed({1, kOwnPosition});
    moveTo("elsewhere");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    fixture.advance(milliseconds(900));
    moveTo("g");
    fixture.pooler.confirmLeadership(fixture.group, fixture.clock.now());
    fixture.submit(session, StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(1, fixture.pendingCount());
    CHECK_TRUE(fixture.pending().command.after.has_value());
    UNSIGNED_LONGS_EQUAL(kOwnPosition, fixture.pending().command.after->position);
}

TEST(ServiceMoves, AForwardedReadHasTheFloorOfItsOwnGroup) {
    forwardAll();
    write();
    answerUnit({1, kOwnPosition});
    moveTo("elsewhere");
    CHECK_TRUE(readForwarded().ownFloor == OpTime{});
    answerUnit({});
    write();
    answerUnit({7, 3});
    CHECK_TRUE(readForwarded().ownFloor == (OpTime{7, 3}));
    answerUnit({7, 3});
    moveTo("g");
    CHECK_TRUE(readForwarded().ownFloor == (OpTime{1, kOwnPosition}));
}

/** A transaction stays in its group when the service moves while it is open. */
TEST(ServiceMoves, ACommitCountsInTheGroupOfItsTransaction) {
    fixture.submit(session, StatementVerb::Begin, "BEGIN");
    write();
    fixture.acknowledge(SessionState::InTransaction);
    fixture.succeed({1, 400}, SessionState::InTransaction);
    moveTo("elsewhere");
    fixture.submit(session, StatementVerb::Commit, "COMMIT");
    fixture.succeed({1, kOwnPosition});
    CHECK_TRUE(fixture.pooler.ownFloorOf(session) == (OpTime{1, kOwnPosition}));
    moveTo("g");
    fixture.submit(session, StatementVerb::Read, "READ 1");
    UNSIGNED_LONGS_EQUAL(kOwnPosition, fixture.pending().command.after->position);
}

/** Guards against stale reads in a group whose floor was dropped. */
TEST(ServiceMoves, AfterTooManyGroupsASessionReadsWhatIsCurrent) {
    forwardAll();
    write();
    answerUnit({1, kOwnPosition});
    CHECK_TRUE(readForwarded().settings.maxStaleness > Duration(0));
    answerUnit({1, kOwnPosition});
    std::size_t moves = 0;
    for (int number = 0; moves < OwnCommitFloors::kMaximumGroups; ++number) {
        const std::string group = "group" + std::to_string(number);
        if (!fixture.pooler.executesHere(GroupName(group))) {
            moveTo(group);
            write();
            answerUnit({1, 1});
            ++moves;
        }
    }
    moveTo("g");
    CHECK_TRUE(readForwarded().settings.maxStaleness == Duration(0));
}

}  // namespace coralhoist::pooling
