#include <CppUTest/TestHarness.h>

#include "FailoverFixture.h"
#include "failover/LeadershipProbe.h"

namespace coralhoist::pooled {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LeadershipProbe) {
    FailoverFixture fixture;
    failover::ReportParser parser =
        [](const std::string& row) -> std::optional<failover::ServerReport> {
        failover::ServerReport report;
        report.primary = row.rfind("primary", 0) == 0;
        report.term = std::stoull(row.substr(8));
        report.heldTerm = std::stoull(row.substr(row.rfind(' ') + 1));
        return report;
    };
    failover::LeadershipProbe probe{fixture.queue, *fixture.nodes[0].connector, parser};
    pooling::ServerDirectory directory;

    std::optional<TimePoint> ask() {
        for (const pooling::ServerAnnouncement& announcement : fixture.group.announcements()) {
            directory.put(announcement, fixture.queue.now());
        }
        probe.ask(directory.serversOf(fixture.group.name()), fixture.queue.now());
        for (int step = 0; step < 10; ++step) {
            fixture.run(milliseconds(20));
            probe.onTick(fixture.queue.now());
        }
        return probe.provenAt({fixture.server(0).name, 1});
    }
};

TEST(LeadershipProbe, APrimaryWithAFollowerIsProven) {
    const TimePoint before = fixture.queue.now();
    const std::optional<TimePoint> proven = ask();
    CHECK_TRUE(proven.has_value());
    CHECK(*proven >= before);
}

TEST(LeadershipProbe, NothingIsProvenOnceAllReplicasHaveStopped) {
    fixture.server(1).heldTerm = 2;
    fixture.server(2).heldTerm = 2;
    CHECK_FALSE(ask().has_value());
}

/**
 * Guards against a proof by a replica that has restarted during a promotion and forgotten its
 * pause, while the successor is still paused.
 */
TEST(LeadershipProbe, APausedReplicaShowsAPromotionThatHasNotEnded) {
    fixture.server(1).heldTerm = 2;
    CHECK_FALSE(ask().has_value());
    CHECK_TRUE(probe.pausedAt({fixture.server(0).name, 1}).has_value());
}

/** Guards against a group whose primary has stepped down and that no node promotes anew. */
TEST(LeadershipProbe, APrimaryThatDoesNotLeadShowsAPromotionThatHasNotEnded) {
    fixture.server(0).primary = false;
    ask();
    CHECK_TRUE(probe.pausedAt({fixture.server(0).name, 1}).has_value());
}

TEST(LeadershipProbe, AReplicaThatReceivesShowsNoPromotion) {
    fixture.server(1).heldTerm = 1;
    ask();
    CHECK_FALSE(probe.pausedAt({fixture.server(0).name, 1}).has_value());
}

TEST(LeadershipProbe, NothingIsProvenWhileAServerIsSilent) {
    fixture.nodes[0].connector->faults().cut.insert(fixture.server(1).name);
    CHECK_FALSE(ask().has_value());
}

TEST(LeadershipProbe, AServerThatDoesNotRunLeavesTheProofToTheOthers) {
    fixture.group.crash(fixture.server(1));
    CHECK_TRUE(ask().has_value());
}

TEST(LeadershipProbe, NothingIsProvenOnceThePrimaryHasSteppedDown) {
    fixture.server(0).primary = false;
    CHECK_FALSE(ask().has_value());
}

TEST(LeadershipProbe, ARemovedReplicaProvesNothing) {
    fixture.server(1).heldTerm = 2;
    ask();
    directory.remove(fixture.server(2).name, {UINT64_MAX, 0}, fixture.queue.now());
    probe.ask(directory.serversOf(fixture.group.name()), fixture.queue.now());
    CHECK_FALSE(probe.provenAt({fixture.server(0).name, 1}).has_value());
}

}  // namespace
}  // namespace coralhoist::pooled
