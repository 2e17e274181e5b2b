#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <vector>

#include "link/forwarding/UnitLinks.h"
#include "link/forwarding/UnitService.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::forwarding {
namespace {

using pooling::StatementFault;
using pooling::StatementVerb;
using pooling::UnitLoss;
using std::chrono::milliseconds;

constexpr const char* kHost = "127.0.0.1";

/** Opens at once; each caller's command is answered when the test says so. */
class ManualServers final : public pooling::ServerConnector {
public:
    ConnectionId open(const pooling::ServerAddress& /*address*/, const TenantName& /*tenant*/,
                      pooling::ServerEvents& /*events*/) override {
        opening.emplace_back(opening.size() + 1);
        return opening.back();
    }
    void send(ConnectionId connection, const std::vector<pooling::ServerCommand>& batch) override {
        for (const pooling::ServerCommand& command : batch) {
            commands.emplace_back(connection, command);
        }
    }
    void close(ConnectionId /*connection*/) override {}

    std::vector<ConnectionId> opening;
    std::vector<std::pair<ConnectionId, pooling::ServerCommand>> commands;
};

/** What became of forwarded units. */
class Recorder final : public pooling::UnitEvents {
public:
    void onUnitResult(UnitId unit, pooling::UnitResult result) override {
        results[unit].push_back(std::move(result));
    }
    void onUnitLost(UnitId unit, UnitLoss loss) override { losses[unit].push_back(loss); }

    std::map<UnitId, std::vector<pooling::UnitResult>> results;
    std::map<UnitId, std::vector<UnitLoss>> losses;
};

/** Takes questions and answers of other nodes. */
class QuestionRecorder final : public pooling::ProofEvents,
                               public store::FeedEvents,
                               public pooling::LoadReportEvents {
public:
    void onLoadReport(const pooling::LoadReport& report) override { reports.push_back(report); }
    void onProofAsked(const pooling::ProofAsker& asker) override { proofAskers.push_back(asker); }
    void onProofAnswer(std::uint64_t question,
                       const std::optional<pooling::HandedProof>& proof) override {
        proofAnswers.emplace_back(question, proof);
    }
    void onFeedAsked(std::uint64_t asker, const store::FeedQuestion& question) override {
        feedAskers.emplace_back(asker, question);
    }
    void onFeedAnswer(std::uint64_t question,
                      const std::optional<store::FeedAnswer>& answer) override {
        feedAnswers.emplace_back(question, answer);
    }

    std::vector<pooling::LoadReport> reports;
    std::vector<pooling::ProofAsker> proofAskers;
    std::vector<std::pair<std::uint64_t, std::optional<pooling::HandedProof>>> proofAnswers;
    std::vector<std::pair<std::uint64_t, store::FeedQuestion>> feedAskers;
    std::vector<std::pair<std::uint64_t, std::optional<store::FeedAnswer>>> feedAnswers;
};

pooling::UnitStatement statement(StatementVerb verb, const std::string& text) {
    return {{"r-" + text, verb, text, {}, {}, pooling::ShapeKind::Read}, {}, std::nullopt};
}

TEST_GROUP(UnitLink), public pooling::PoolerOutput {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    ManualServers servers;
    socket::SocketPoller poller;
    pooling::StatementPooler pooler{clock, servers, *this, {}};
    UnitService service{poller, pooler};
    Recorder recorder;
    UnitLinks links{poller, clock, recorder};
    NodeName executor{"executor"};
    GroupName group{"g"};

    void setup() override {
        CHECK_TRUE(service.listen(kHost, 0).isOk());
        links.applyNodes({{executor, ZoneName("z"), kHost, service.port()}});
        auto catalog = std::make_shared<pooling::ServiceCatalog>();
        catalog->groups[group] = {};
        pooler.applyCatalog(catalog);
        pooling::ServerDirectory directory;
        pooling::ServerAnnouncement primary;
        primary.address = {group, ServerName("s1"), kHost, 1};
        primary.slots = 3;
        primary.role = pooling::ServerRole::Primary;
        primary.version.revision = 1;
        directory.put(primary, {});
        pooler.applyDirectory(directory);
        pooler.onTick();
        pooler.onOpened(servers.opening.at(0), {1, 1});
        clock.advance(milliseconds(600));
        pooler.confirmLeadership(group, clock.now());
    }

    void reply(SessionId session, pooling::StatementResult result) override {
        CHECK_TRUE(service.reply(session, result));
    }
    void closeSession(SessionId /*session*/) override {}
    void wantLeadershipProof(const GroupName& /*group*/) override {}
    void suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                        pooling::SuspicionReason /*reason*/) override {}

    void waitFor(const std::function<bool()>& condition) {
        CHECK_TRUE(testing::waitUntil(condition));
    }

    void open(std::uint64_t unit, StatementVerb verb, const std::string& text,
              bool transaction = false) {
        pooling::UnitOpening opening;
        opening.service = ServiceName("s");
        opening.group = group;
        opening.settings.statementTimeout = milliseconds(800);
        if (transaction) {
            opening.begin = statement(StatementVerb::Begin, "BEGIN").statement;
        }
        links.open(UnitId(unit), executor, opening, statement(verb, text));
    }

    void succeed(pooling::SessionState state) {
        pooling::StatementResult result;
        result.signature = "sig";
        result.state = state;
        result.position = {1, 50};
        const ConnectionId connection = servers.commands.front().first;
        servers.commands.erase(servers.commands.begin());
        pooler.onResult(connection, result);
    }
};

TEST(UnitLink, AStatementIsExecutedAndAnswered) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    STRCMP_EQUAL("r-WRITE 1 a", servers.commands.front().second.id.c_str());
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
    STRCMP_EQUAL("sig", recorder.results[UnitId(1)][0].result.signature.c_str());
    CHECK_TRUE(recorder.results[UnitId(1)][0].ownFloor == (OpTime{1, 50}));
    UNSIGNED_LONGS_EQUAL(0, service.unitCount());
    CHECK_FALSE(links.nextTick().has_value());
}

TEST(UnitLink, ATransactionEndsWithItsCommit) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a", true);
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::InTransaction);
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::InTransaction);
    waitFor([this] { return recorder.results[UnitId(1)].size() == 1; });
    UNSIGNED_LONGS_EQUAL(1, service.unitCount());
    links.submit(UnitId(1), statement(StatementVerb::Commit, "COMMIT"));
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results[UnitId(1)].size() == 2; });
    UNSIGNED_LONGS_EQUAL(0, service.unitCount());
}

TEST(UnitLink, BytesAndRoundTripsToAnotherRegionAreNoted) {
    using locality::TrafficDirection;
    using locality::TrafficPurpose;
    const locality::RegionMap regions{
        {{ZoneName("z"), RegionName("north")}, {ZoneName("y"), RegionName("south")}}};
    locality::RegionWatch watch(regions, ZoneName("y"));
    links.setRegionWatch(watch);
    links.applyNodes({});
    links.applyNodes({{executor, ZoneName("z"), kHost, service.port()}});
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    clock.advance(milliseconds(7));
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
    const locality::RegionTraffic& traffic = watch.traffic;
    CHECK_TRUE(traffic.bytes(TrafficPurpose::Units, TrafficDirection::Sent) > 0);
    CHECK_TRUE(traffic.bytes(TrafficPurpose::Units, TrafficDirection::Received) > 0);
    UNSIGNED_LONGS_EQUAL(0, traffic.bytes(TrafficPurpose::Feeds, TrafficDirection::Sent));
    CHECK_TRUE(watch.distances.to(ZoneName("z"), clock.now()).time == milliseconds(7));
}

TEST(UnitLink, ReportsToAnotherRegionKeepToTheirShareAndStatementsDoNot) {
    const locality::RegionMap regions{
        {{ZoneName("z"), RegionName("north")}, {ZoneName("y"), RegionName("south")}}};
    locality::RegionWatch watch(regions, ZoneName("y"));
    links.setRegionWatch(watch);
    links.applyNodes({});
    links.applyNodes({{executor, ZoneName("z"), kHost, service.port()}});
    service.startServing();
    for (int index = 0; index < 1000; ++index) {
        links.sendLoadReport(executor, {NodeName("me"), group, {milliseconds(5)}, true});
    }
    const std::uint64_t told = watch.traffic.bytes(locality::TrafficPurpose::LoadReports,
                                                   locality::TrafficDirection::Sent);
    CHECK_TRUE(told > 0);
    CHECK_TRUE(told <= 4096);
    CHECK_TRUE(watch.background.keptBack() > 0);
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
}

TEST(UnitLink, NothingIsNotedOfANodeInTheOwnRegion) {
    const locality::RegionMap regions{{{ZoneName("z"), RegionName("north")},
                                       {ZoneName("y"), RegionName("north")},
                                       {ZoneName("x"), RegionName("south")}}};
    locality::RegionWatch watch(regions, ZoneName("y"));
    links.setRegionWatch(watch);
    links.applyNodes({});
    links.applyNodes({{executor, ZoneName("z"), kHost, service.port()}});
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
    UNSIGNED_LONGS_EQUAL(0, watch.traffic.total());
}

TEST(UnitLink, AUnitThatIsGivenUpIsRolledBack) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a", true);
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::InTransaction);
    succeed(pooling::SessionState::InTransaction);
    waitFor([this] { return recorder.results[UnitId(1)].size() == 1; });
    links.end(UnitId(1));
    waitFor([this] { return !servers.commands.empty(); });
    CHECK_TRUE(servers.commands.front().second.kind == pooling::ServerCommand::Kind::Rollback);
    UNSIGNED_LONGS_EQUAL(0, service.unitCount());
}

TEST(UnitLink, ANodeThatDoesNotServeYetDeclines) {
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return recorder.losses.contains(UnitId(1)); });
    CHECK_TRUE(recorder.losses[UnitId(1)].front() == UnitLoss::NotTaken);
    CHECK_FALSE(links.canReach(executor));
    clock.advance(milliseconds(301));
    CHECK_TRUE(links.canReach(executor));
    UNSIGNED_LONGS_EQUAL(0, servers.commands.size());
}

TEST(UnitLink, ALeavingNodeIsNotAskedAndEndsWhatItHasTaken) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    service.beginLeaving();
    waitFor([this] { return !links.canReach(executor); });
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
    CHECK_TRUE(recorder.losses.empty());
}

TEST(UnitLink, TheUnitsOfALostLinkAreLostAndRolledBack) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a", true);
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::InTransaction);
    succeed(pooling::SessionState::InTransaction);
    waitFor([this] { return recorder.results[UnitId(1)].size() == 1; });
    links.applyNodes({});
    CHECK_TRUE(recorder.losses[UnitId(1)].front() == UnitLoss::Unanswered);
    waitFor([this] { return !servers.commands.empty(); });
    CHECK_TRUE(servers.commands.front().second.kind == pooling::ServerCommand::Kind::Rollback);
    UNSIGNED_LONGS_EQUAL(0, service.unitCount());
}

TEST(UnitLink, ANodeThatCanNotBeReachedHasTakenNothing) {
    QTcpServer taken;
    CHECK_TRUE(taken.listen(QHostAddress::LocalHost, 0));
    const std::uint16_t freePort = taken.serverPort();
    taken.close();
    links.applyNodes({{executor, ZoneName("z"), kHost, freePort}});
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return recorder.losses.contains(UnitId(1)); });
    CHECK_TRUE(recorder.losses[UnitId(1)].front() == UnitLoss::NotTaken);
    CHECK_FALSE(links.canReach(executor));
}

/** Guards against units that a node sends when it goes on after it stood still, although the time
 * to open the link has passed: connections that opened are reported before timers. */
TEST(UnitLink, AUnitIsNotSentWhenItsLinkOpensTooLate) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    clock.advance(milliseconds(250));
    waitFor([this] { return recorder.losses.contains(UnitId(1)) || service.unitCount() > 0; });
    UNSIGNED_LONGS_EQUAL(0, service.unitCount());
    CHECK_TRUE(recorder.losses[UnitId(1)].front() == UnitLoss::NotTaken);
    CHECK_FALSE(links.canReach(executor));
}

/** Statements used to wait for connections to nodes that were known to be lost (2,400 on one day).
 */
TEST(UnitLink, ALostNodeIsTriedWithoutAStatement) {
    QTcpServer taken;
    CHECK_TRUE(taken.listen(QHostAddress::LocalHost, 0));
    const std::uint16_t port = taken.serverPort();
    taken.close();
    links.applyNodes({{executor, ZoneName("z"), kHost, port}});
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return recorder.losses.contains(UnitId(1)); });
    clock.advance(milliseconds(250));
    // The pause is over, yet the node is not offered statements before a connection has opened.
    CHECK_FALSE(links.canReach(executor));
    CHECK_TRUE(links.nextTick() <= clock.now());
    CHECK_TRUE(taken.listen(QHostAddress::LocalHost, port));
    links.onTick(clock.now());
    waitFor([this] { return links.canReach(executor); });
    UNSIGNED_LONGS_EQUAL(1, recorder.losses.size());
}

TEST(UnitLink, ASilentNodeIsGivenUpAndItsAnswersAreDropped) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    waitFor([this] { return links.nextTick() == clock.now() + milliseconds(150); });
    // The event loop does not run from here on: the heartbeat stays unanswered.
    clock.advance(milliseconds(150));
    links.onTick(clock.now());
    CHECK_TRUE(recorder.losses.empty());
    clock.advance(milliseconds(350));
    links.onTick(clock.now());
    CHECK_TRUE(recorder.losses[UnitId(1)].front() == UnitLoss::Unanswered);
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return service.unitCount() == 0; });
    CHECK_TRUE(recorder.results.empty());
}

TEST(UnitLink, AHeartbeatKeepsASlowAnswerAlive) {
    service.startServing();
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    for (int round = 0; round < 8; ++round) {
        clock.advance(milliseconds(150));
        links.onTick(clock.now());
        waitFor([this] { return links.nextTick() == clock.now() + milliseconds(150); });
    }
    pooler.confirmLeadership(group, clock.now());
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
    CHECK_TRUE(recorder.losses.empty());
}

TEST(UnitLink, QuestionsAreAnsweredOverTheSameLink) {
    QuestionRecorder here;
    QuestionRecorder there;
    links.setQuestionEvents({&here, &here, nullptr});
    service.setQuestionEvents({&there, &there, nullptr});
    links.askForProof(executor, 5, {{0, 9}, milliseconds(150)});
    links.askForChanges(executor, 6, {{StoreVersion{0, 3}}, NodeName("n")});
    waitFor([&] { return there.proofAskers.size() == 1 && there.feedAskers.size() == 1; });
    CHECK_TRUE(there.proofAskers[0].need == (pooling::ProofNeed{{0, 9}, milliseconds(150)}));
    service.answerFeed(there.feedAskers[0].first, std::nullopt);
    service.answerProof(there.proofAskers[0].id,
                        pooling::HandedProof{milliseconds(2), {{group, {0, 9}}}});
    waitFor([&] { return here.proofAnswers.size() == 1 && here.feedAnswers.size() == 1; });
    UNSIGNED_LONGS_EQUAL(5, here.proofAnswers[0].first);
    CHECK_TRUE(here.proofAnswers[0].second->recordVersions.at(group) == (StoreVersion{0, 9}));
    UNSIGNED_LONGS_EQUAL(6, here.feedAnswers[0].first);
    CHECK_FALSE(here.feedAnswers[0].second.has_value());
}

TEST(UnitLink, AReportOfLoadIsTakenAndNotAnswered) {
    QuestionRecorder questions;
    service.setQuestionEvents({nullptr, nullptr, nullptr, &questions});
    const pooling::LoadReport report{NodeName("n1"), group, {milliseconds(30)}, true};
    links.sendLoadReport(executor, report);
    waitFor([&] { return questions.reports.size() == 1; });
    CHECK_TRUE(questions.reports.front() == report);
    // Nobody waits for an answer, so silence does not end the link.
    clock.advance(milliseconds(5000));
    links.onTick(clock.now());
    links.sendLoadReport(executor, report);
    waitFor([&] { return questions.reports.size() == 2; });
}

TEST(UnitLink, ANodeThatIsNotKnownOrWasLostIsToldNothing) {
    const pooling::LoadReport report{NodeName("n1"), group, {milliseconds(30)}, true};
    links.sendLoadReport(NodeName("unknown"), report);
    CHECK_FALSE(links.canReach(NodeName("unknown")));
    QTcpServer closed;
    CHECK_TRUE(closed.listen(QHostAddress(kHost)));
    const std::uint16_t port = closed.serverPort();
    closed.close();
    links.applyNodes({{executor, ZoneName("z"), kHost, port}});
    links.sendLoadReport(executor, report);
    waitFor([&] { return !links.canReach(executor); });
    links.sendLoadReport(executor, report);
    CHECK_FALSE(links.canReach(executor));
}

TEST(UnitLink, QuestionsOfALostLinkAreAnsweredWithNothing) {
    QuestionRecorder here;
    QuestionRecorder there;
    links.setQuestionEvents({&here, &here, nullptr});
    service.setQuestionEvents({&there, &there, nullptr});
    links.askForProof(executor, 5, {{0, 9}, milliseconds(150)});
    links.askForChanges(executor, 6, {{StoreVersion{0, 3}}, NodeName("n")});
    waitFor([&] { return there.proofAskers.size() == 1 && there.feedAskers.size() == 1; });
    links.applyNodes({});
    UNSIGNED_LONGS_EQUAL(1, here.proofAnswers.size());
    CHECK_FALSE(here.proofAnswers[0].second.has_value());
    UNSIGNED_LONGS_EQUAL(1, here.feedAnswers.size());
    // The asking node's link is gone: there is nobody to answer, and nothing happens.
    service.answerProof(there.proofAskers[0].id, std::nullopt);
}

TEST(UnitLink, ALinkThatLeavesAQuestionForChangesUnansweredIsGivenUp) {
    QuestionRecorder here;
    QuestionRecorder there;
    links.setQuestionEvents({&here, &here, nullptr});
    service.setQuestionEvents({&there, &there, nullptr});
    links.askForChanges(executor, 6, {{StoreVersion{0, 3}}, NodeName("n")});
    waitFor([&] { return there.feedAskers.size() == 1; });
    clock.advance(milliseconds(849));
    links.onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(0, here.feedAnswers.size());
    clock.advance(milliseconds(1));
    links.onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(1, here.feedAnswers.size());
    CHECK_FALSE(here.feedAnswers[0].second.has_value());
}

TEST(UnitLink, AFrameThatCanNotBeReadEndsTheLinkAndNothingElse) {
    service.startServing();
    QTcpSocket stranger;
    stranger.connectToHost(kHost, service.port());
    waitFor([&] { return stranger.state() == QAbstractSocket::ConnectedState; });
    stranger.write("GET / HTTP/1.1\r\n\r\n");
    waitFor([&] { return stranger.state() == QAbstractSocket::UnconnectedState; });
    open(1, StatementVerb::Write, "WRITE 1 a");
    waitFor([this] { return !servers.commands.empty(); });
    succeed(pooling::SessionState::Idle);
    waitFor([this] { return recorder.results.contains(UnitId(1)); });
}

}  // namespace
}  // namespace coralhoist::forwarding
