#include <CppUTest/TestHarness.h>

#include <cmath>
#include <string>

#include "pooling/CapacityShares.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

using Demand = std::vector<Duration>;

constexpr Duration kStatementTime = milliseconds(30);

NodeName node(std::size_t index) {
    return NodeName("n" + std::to_string(index));
}

TEST_GROUP(CapacityShares) {
    testing::ManualClock clock;
    GroupName group{"g"};
    SharedServer server{ServerName("s1"), 6, 9, milliseconds(30), true};

    static std::vector<NodeName> othersOf(std::size_t self, std::size_t count) {
        std::vector<NodeName> others;
        for (std::size_t index = 0; index < count; ++index) {
            if (index != self) {
                others.push_back(node(index));
            }
        }
        return others;
    }

    static OwnLoad loadOf(const Demand& demand, double taken = 9) {
        Duration sum{0};
        for (const Duration part : demand) {
            sum += part;
        }
        return {demand, static_cast<std::size_t>(sum / kStatementTime), taken};
    }

    LoadReport report(std::size_t sender, const Demand& demand) const {
        return {node(sender), group, demand, true};
    }

    /** @return the shares of an executor that has received reports of the executors with a given
     * demand. */
    CapacityShares inCrowd(std::size_t self, const std::vector<Demand>& demands,
                           std::size_t executors) const {
        CapacityShares shares;
        const std::vector<NodeName> others = othersOf(self, executors);
        const TimePoint before = clock.now() - CapacityShares::kSettling;
        shares.noteRefused(server.name, before);
        shares.update(others, loadOf(demands[self]), before);
        for (std::size_t index = 0; index < demands.size(); ++index) {
            if (index != self) {
                CHECK_TRUE(shares.take(report(index, demands[index]), others, clock.now()));
            }
        }
        shares.update(others, loadOf(demands[self]), clock.now());
        return shares;
    }

    double bound(std::size_t self, const std::vector<Demand>& demands) const {
        return inCrowd(self, demands, demands.size()).limitAt(server, clock.now());
    }
};

TEST(CapacityShares, WithoutOverloadThereIsNoLimitAndNoReport) {
    CapacityShares shares;
    shares.update(othersOf(0, 8), loadOf({milliseconds(3000)}), clock.now());
    CHECK_FALSE(shares.inForce());
    CHECK_FALSE(shares.takeReportDue(clock.now()));
    CHECK_TRUE(std::isinf(shares.limitAt(server, clock.now())));
    CHECK_TRUE(shares.admits(server, 100, clock.now()));
}

TEST(CapacityShares, AQueueOfLessThanAnEqualPartIsNoOverload) {
    CapacityShares shares;
    shares.noteNoRoom(clock.now());
    shares.update(othersOf(0, 8), loadOf({kStatementTime}), clock.now());
    CHECK_FALSE(shares.isOverloaded(clock.now()));
    shares.update(othersOf(0, 8), loadOf({kStatementTime * 2}), clock.now());
    CHECK_TRUE(shares.isOverloaded(clock.now()));
}

TEST(CapacityShares, AReplicaIsLimitedOnceItHasRefused) {
    SharedServer replica = server;
    replica.name = ServerName("s2");
    replica.primary = false;
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    CHECK_TRUE(shares.limits(server));
    CHECK_FALSE(shares.limits(replica));
    CHECK_TRUE(shares.admits(replica, 100, clock.now()));
    shares.noteRefused(replica.name, clock.now());
    CHECK_TRUE(shares.limits(replica));
    CHECK_FALSE(shares.admits(replica, 100, clock.now()));
}

TEST(CapacityShares, AGroupWithOneExecutorHasNoShares) {
    CapacityShares shares;
    shares.noteRefused(server.name, clock.now());
    shares.update({}, loadOf({milliseconds(3000)}), clock.now());
    clock.advance(CapacityShares::kSettling);
    shares.update({}, loadOf({milliseconds(3000)}), clock.now());
    CHECK_FALSE(shares.inForce());
    CHECK_FALSE(shares.takeReportDue(clock.now()));
}

TEST(CapacityShares, PartsFollowDemandAndTheirSumIsTheWhole) {
    const std::vector<Demand> demands = {{milliseconds(900)}, {milliseconds(300)}, {Duration(0)},
                                         {milliseconds(60)},  {milliseconds(150)}, {Duration(0)},
                                         {milliseconds(90)},  {milliseconds(300)}};
    double sum = 0;
    for (std::size_t self = 0; self < demands.size(); ++self) {
        sum += bound(self, demands);
    }
    DOUBLES_EQUAL(9.0, sum, 1e-9);
    DOUBLES_EQUAL(4.5, bound(0, demands), 1e-9);
    DOUBLES_EQUAL(1.5, bound(1, demands), 1e-9);
    DOUBLES_EQUAL(0.0, bound(2, demands), 1e-9);
}

TEST(CapacityShares, ARankTakesOnlyWhatLowerOnesLeave) {
    // Rank 0, which is served first, fills half of the server's slots for the time of one
    // statement.
    const std::vector<Demand> half = {{milliseconds(150)}, {Duration(0), milliseconds(1500)}};
    DOUBLES_EQUAL(4.5, bound(0, half), 1e-9);
    DOUBLES_EQUAL(4.5, bound(1, half), 1e-9);
    const std::vector<Demand> full = {{milliseconds(400)}, {Duration(0), milliseconds(1500)}};
    DOUBLES_EQUAL(9.0, bound(0, full), 1e-9);
    DOUBLES_EQUAL(0.0, bound(1, full), 1e-9);
}

TEST(CapacityShares, SilentExecutorsKeepAnEqualPart) {
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(300)}}, 8);
    CHECK_TRUE(shares.inForce());
    DOUBLES_EQUAL(9.0 * 2 / 8 * 3 / 4, shares.limitAt(server, clock.now()), 1e-9);
}

TEST(CapacityShares, AReportDoesNotCountForLongerThanItsAge) {
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    clock.advance(CapacityShares::kReportAge - milliseconds(1));
    UNSIGNED_LONGS_EQUAL(1, shares.reportCount(clock.now()));
    clock.advance(milliseconds(1));
    UNSIGNED_LONGS_EQUAL(0, shares.reportCount(clock.now()));
    shares.noteRefused(server.name, clock.now());
    shares.update(othersOf(0, 2), loadOf({milliseconds(3000)}), clock.now());
    CHECK_TRUE(shares.inForce());
    DOUBLES_EQUAL(4.5, shares.limitAt(server, clock.now()), 1e-9);
}

TEST(CapacityShares, AnOverloadThatIsNoLongerReportedEnds) {
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    CHECK_TRUE(shares.inForce());
    clock.advance(CapacityShares::kOverloadEndsAfter);
    shares.update(othersOf(0, 2), loadOf({milliseconds(900)}), clock.now());
    CHECK_FALSE(shares.inForce());
}

TEST(CapacityShares, AQueueProlongsAnOverload) {
    const std::vector<NodeName> others = othersOf(0, 2);
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    for (int round = 0; round < 60; ++round) {
        clock.advance(milliseconds(50));
        shares.noteNoRoom(clock.now());
        CHECK_TRUE(shares.take(report(1, {milliseconds(900)}), others, clock.now()));
        shares.update(others, loadOf({milliseconds(900)}), clock.now());
        CHECK_TRUE(shares.inForce());
    }
}

TEST(CapacityShares, DemandThatFitsTheServersEndsTheSharesWithinASecond) {
    const std::vector<NodeName> others = othersOf(0, 2);
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    shares.update(others, loadOf({milliseconds(60)}), clock.now());
    LoadReport quiet = report(1, {milliseconds(60)});
    quiet.crowded = false;
    CHECK_TRUE(shares.take(quiet, others, clock.now()));
    shares.update(others, loadOf({milliseconds(60)}), clock.now());
    CHECK_FALSE(shares.inForce());
    clock.advance(CapacityShares::kOverloadEndsAfter);
    shares.update(others, loadOf({milliseconds(60)}), clock.now());
    CHECK_FALSE(shares.isOverloaded(clock.now()));
}

TEST(CapacityShares, AReportWithoutTheOverloadFlagStartsNoOverload) {
    CapacityShares shares;
    LoadReport quiet = report(1, {milliseconds(900)});
    quiet.crowded = false;
    CHECK_TRUE(shares.take(quiet, othersOf(0, 2), clock.now()));
    shares.update(othersOf(0, 2), loadOf({milliseconds(900)}), clock.now());
    CHECK_FALSE(shares.isOverloaded(clock.now()));
}

TEST(CapacityShares, AReportOfANodeThatIsNoExecutorIsIgnored) {
    CapacityShares shares;
    CHECK_FALSE(shares.take(report(9, {milliseconds(900)}), othersOf(0, 8), clock.now()));
    UNSIGNED_LONGS_EQUAL(0, shares.reportCount(clock.now()));
}

TEST(CapacityShares, ReportsOfFormerExecutorsAreDropped) {
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}, {}}, 3);
    const std::vector<NodeName> fewer = {node(2)};
    shares.update(fewer, loadOf({milliseconds(900)}), clock.now());
    UNSIGNED_LONGS_EQUAL(1, shares.reportCount(clock.now()));
    DOUBLES_EQUAL(9.0, shares.limitAt(server, clock.now()), 1e-9);
}

TEST(CapacityShares, UnchangedDemandIsReportedLessOften) {
    CapacityShares shares = inCrowd(0, {{milliseconds(900)}, {milliseconds(900)}}, 2);
    CHECK_TRUE(shares.takeReportDue(clock.now()));
    clock.advance(CapacityShares::kReportEvery);
    CHECK_FALSE(shares.takeReportDue(clock.now()));
    shares.update(othersOf(0, 2), loadOf({milliseconds(300)}), clock.now());
    CHECK_TRUE(shares.takeReportDue(clock.now()));
    clock.advance(CapacityShares::kReportEvery - milliseconds(1));
    shares.update(othersOf(0, 2), loadOf({milliseconds(900)}), clock.now());
    CHECK_FALSE(shares.takeReportDue(clock.now()));
    clock.advance(milliseconds(1));
    CHECK_TRUE(shares.takeReportDue(clock.now()));
    clock.advance(CapacityShares::kRepeatEvery);
    CHECK_TRUE(shares.takeReportDue(clock.now()));
}

TEST(CapacityShares, AFractionIsServedInTurns) {
    // Each executor has a quarter of 9 statements: two at any time, and a third one for a quarter
    // of the time.
    CapacityShares shares = inCrowd(0, std::vector<Demand>(4, Demand{milliseconds(900)}), 4);
    DOUBLES_EQUAL(2.25, shares.limitAt(server, clock.now()), 1e-9);
    CHECK_TRUE(shares.admits(server, 1, clock.now()));
    CHECK_TRUE(shares.admits(server, 2, clock.now()));
    CHECK_FALSE(shares.admits(server, 3, clock.now()));
    shares.noteSent(server, 2, clock.now());
    CHECK_TRUE(shares.admits(server, 1, clock.now()));
    CHECK_FALSE(shares.admits(server, 2, clock.now()));
    // The time of the next turn is returned only once.
    const std::optional<TimePoint> wake = shares.takeTurnWake(server, clock.now());
    CHECK_TRUE(wake.has_value() && *wake > clock.now());
    CHECK_FALSE(shares.takeTurnWake(server, clock.now()).has_value());
    clock.advance(server.latency * 4);
    CHECK_TRUE(shares.admits(server, 2, clock.now()));
}

TEST(CapacityShares, AnExecutorWithoutAShareSendsOneStatementPerLongestTurn) {
    CapacityShares shares = inCrowd(0, {{Duration(0), milliseconds(600)}, {milliseconds(3000)}}, 2);
    DOUBLES_EQUAL(0.0, shares.limitAt(server, clock.now()), 1e-9);
    CHECK_TRUE(shares.admits(server, 0, clock.now()));
    shares.noteSent(server, 0, clock.now());
    clock.advance(CapacityShares::kLongestTurn - milliseconds(1));
    CHECK_FALSE(shares.admits(server, 0, clock.now()));
    clock.advance(milliseconds(1));
    CHECK_TRUE(shares.admits(server, 0, clock.now()));
}

}  // namespace
}  // namespace coralhoist::pooling
