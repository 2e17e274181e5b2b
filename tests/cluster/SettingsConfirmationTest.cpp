#include <CppUTest/TestHarness.h>

#include <QCoreApplication>

#include "base/SystemTime.h"
#include "cluster/SettingsConfirmation.h"
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

TEST_GROUP(SettingsConfirmation) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    SeededRandom random{1};
    socket::SocketPoller poller;
    std::size_t calls = 0;
    int status = kOk;
    socket::HttpResponder responder{
        poller, [this](const std::string& /*path*/) {
            ++calls;
            return socket::HttpPage{status, R"({"items":[],"has_more":false,"at":10})"};
        }};
    platform_adapter::StoreProtocol protocol;
    std::unique_ptr<socket::HttpClient> client;
    std::unique_ptr<SettingsConfirmation> confirmation;
    TimePoint confirmedAt = clock.now();
    std::size_t lists = 0;

    void setup() override {
        CHECK_TRUE(responder.listen(kHost, 0).isOk());
        client = std::make_unique<socket::HttpClient>(poller, clock, kHost, responder.port());
        confirmation = std::make_unique<SettingsConfirmation>(
            "config",
            ConfirmationDependencies{clock, random, *client, protocol,
                                     [this](const std::vector<store::StoredObject>& /*objects*/,
                                            std::uint64_t /*version*/, TimePoint askedAt) {
                                         ++lists;
                                         confirmedAt = askedAt;
                                     }});
    }

    void advance(Duration span, bool isFed) {
        clock.advance(span);
        client->onTick(clock.now());
        confirmation->onTick(clock.now(), confirmedAt, isFed);
    }

    void waitForCalls(std::size_t expected) {
        CHECK_TRUE(testing::waitUntil([this, expected] { return calls == expected; }));
    }
};

TEST(SettingsConfirmation, ANodeThatReadsTheStoreAsksEverySecond) {
    advance(milliseconds(999), false);
    CHECK_TRUE(confirmation->nextTick(confirmedAt, false) == clock.now() + milliseconds(1));
    advance(milliseconds(1), false);
    const TimePoint askedAt = clock.now();
    waitForCalls(1);
    CHECK_TRUE(testing::waitUntil([this] { return lists == 1; }));
    CHECK_TRUE(confirmedAt == askedAt);
}

TEST(SettingsConfirmation, ANodeThatIsToldByOthersAsksOnlyWhenTheyAreLate) {
    advance(milliseconds(2999), true);
    CHECK_TRUE(confirmation->nextTick(confirmedAt, true) > clock.now());
    advance(milliseconds(501), true);
    waitForCalls(1);
}

TEST(SettingsConfirmation, AStoreThatDoesNotAnswerConfirmsNothingAndIsAskedAgainAfterAPause) {
    status = kUnavailable;
    advance(milliseconds(1000), false);
    waitForCalls(1);
    CHECK_TRUE(testing::waitUntil(
        [this] { return confirmation->nextTick(confirmedAt, false) != TimePoint::max(); }));
    CHECK_TRUE(confirmation->nextTick(confirmedAt, false) > clock.now());
    UNSIGNED_LONGS_EQUAL(0, lists);
    advance(milliseconds(400), false);
    waitForCalls(2);
}

}  // namespace
}  // namespace coralhoist::cluster
