#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <deque>
#include <string>

#include "base/SystemTime.h"
#include "cluster/ListRefresh.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"
#include "platform/StoreProtocol.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "127.0.0.1";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

TEST_GROUP(ListRefresh) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    SeededRandom random{1};
    socket::SocketPoller poller;
    std::size_t calls = 0;
    int status = kOk;
    std::deque<std::string> bodies;
    socket::HttpResponder responder{poller, [this](const std::string& /*path*/) {
                                        ++calls;
                                        std::string body =
                                            R"({"items":[],"has_more":false,"at":10})";
                                        if (!bodies.empty()) {
                                            body = bodies.front();
                                            bodies.pop_front();
                                        }
                                        return socket::HttpPage{status, body};
                                    }};
    platform_adapter::StoreProtocol protocol;
    std::unique_ptr<socket::HttpClient> client;
    std::unique_ptr<ListRefresh> refresh;
    TimePoint provenAt = clock.now();
    std::size_t lists = 0;
    std::size_t listed = 0;
    StoreVersion version;

    void setup() override {
        CHECK_TRUE(responder.listen(kHost, 0).isOk());
        client = std::make_unique<socket::HttpClient>(poller, clock, kHost, responder.port());
        refresh = std::make_unique<ListRefresh>(
            "config", RefreshTiming::forBound(milliseconds(3000)),
            RefreshDependencies{clock, random, *client, protocol,
                                [this](const std::vector<store::StoredObject>& objects,
                                       const StoreVersion& listVersion, TimePoint askedAt) {
                                    ++lists;
                                    listed = objects.size();
                                    version = listVersion;
                                    provenAt = askedAt;
                                }});
    }

    void advance(Duration span, ListRole role) {
        clock.advance(span);
        client->onTick(clock.now());
        refresh->onTick(clock.now(), provenAt, role);
    }

    void waitForCalls(std::size_t expected) {
        CHECK_TRUE(testing::waitUntil([this, expected] { return calls == expected; }));
    }
};

TEST(ListRefresh, ANodeThatReadsTheStoreAsksEverySecond) {
    advance(milliseconds(999), ListRole::Source);
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Source) == clock.now() + milliseconds(1));
    advance(milliseconds(1), ListRole::Source);
    const TimePoint askedAt = clock.now();
    waitForCalls(1);
    CHECK_TRUE(testing::waitUntil([this] { return lists == 1; }));
    CHECK_TRUE(provenAt == askedAt);
}

TEST(ListRefresh, ANodeThatIsToldByOthersAsksOnlyWhenTheyAreLate) {
    advance(milliseconds(1799), ListRole::Follower);
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Follower) > clock.now());
    advance(milliseconds(301), ListRole::Follower);
    waitForCalls(1);
}

/** Else all that follow it would ask the store at once. */
TEST(ListRefresh, AReaderAsksBeforeItsFollowersFindItLate) {
    advance(milliseconds(1499), ListRole::Reader);
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Reader) > clock.now());
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Reader) <= provenAt + milliseconds(1650));
    advance(milliseconds(151), ListRole::Reader);
    waitForCalls(1);
}

TEST(ListRefresh, AStoreThatDoesNotAnswerProvesNothingAndIsAskedAgainAfterAPause) {
    status = kUnavailable;
    advance(milliseconds(1000), ListRole::Source);
    waitForCalls(1);
    CHECK_TRUE(testing::waitUntil(
        [this] { return refresh->nextTick(provenAt, ListRole::Source) != TimePoint::max(); }));
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Source) > clock.now());
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Source) <= clock.now() + milliseconds(125));
    UNSIGNED_LONGS_EQUAL(0, lists);
    advance(milliseconds(125), ListRole::Source);
    waitForCalls(2);
}

TEST(ListRefresh, AFailedWatchIsReasonToAskAtOnceUnlessOthersTell) {
    refresh->askSoon();
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Follower) > clock.now());
    CHECK_TRUE(refresh->nextTick(provenAt, ListRole::Source) <= clock.now());
}

TEST(ListRefresh, PagesMakeOneListThatIsDatedFromTheFirst) {
    bodies = {R"({"items":[{"meta":{"name":"a","revision":3}}],"has_more":true,"at":10})",
              R"({"items":[{"meta":{"name":"b","revision":11}}],"has_more":false,"at":12})"};
    advance(milliseconds(1000), ListRole::Source);
    const TimePoint askedAt = clock.now();
    CHECK_TRUE(testing::waitUntil([this] {
        advance(milliseconds(1), ListRole::Source);
        return lists == 1;
    }));
    UNSIGNED_LONGS_EQUAL(2, listed);
    UNSIGNED_LONGS_EQUAL(10, version.revision);
    CHECK_TRUE(provenAt == askedAt);
}

/** An open connection may be silent for good, and costs a call its whole time. */
TEST(ListRefresh, EachCallHasAConnectionOfItsOwnAndGivesUpAnAnswerThatStalls) {
    class RecordingCaller final : public socket::HttpCaller {
    public:
        void call(const socket::HttpCall& call, socket::HttpCallback /*callback*/) override {
            made = call;
        }
        socket::HttpCall made;
    };
    RecordingCaller caller;
    const RefreshTiming timing = RefreshTiming::forBound(milliseconds(3000));
    ListRefresh recorded("config", timing,
                         RefreshDependencies{clock, random, caller, protocol, {}});
    recorded.onTick(clock.now() + timing.refreshAfter, clock.now(), ListRole::Source);
    CHECK_TRUE(caller.made.connection == socket::HttpCall::Connection::New);
    CHECK_TRUE(caller.made.timeout == timing.answerTimeout);
    CHECK_TRUE(caller.made.stallTimeout == timing.answerTimeout);
}

/** Each part of the time that a late node has fits into the bound, whatever the bound is. */
TEST(ListRefresh, ACallThatFailsLeavesTimeForAnotherWithinTheBound) {
    for (const Duration bound : {milliseconds(1000), milliseconds(3000), milliseconds(20000)}) {
        const RefreshTiming timing = RefreshTiming::forBound(bound);
        const Duration secondCall =
            timing.lateAfter + timing.spread + timing.answerTimeout + timing.firstPause;
        CHECK_TRUE(secondCall + bound / 8 <= bound);
        CHECK_TRUE(timing.refreshAfter < timing.readerAfter);
        CHECK_TRUE(timing.readerAfter + timing.spread / 2 < timing.lateAfter);
        CHECK_TRUE(2 * (timing.longestPause + timing.answerTimeout) <= bound / 2);
    }
}

}  // namespace
}  // namespace coralhoist::cluster
