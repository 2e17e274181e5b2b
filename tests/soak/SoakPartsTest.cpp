#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>

#include "lab/soak/FaultyRelay.h"
#include "lab/soak/ReservedPort.h"
#include "lab/soak/StandInStore.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

void waitFor(const std::function<bool()>& condition) {
    CHECK_TRUE(testing::waitUntil(condition));
}

TEST_GROUP(FaultyRelay) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    QTcpServer target;
    QTcpSocket caller;
    QTcpSocket* accepted = nullptr;
    std::unique_ptr<FaultyRelay> relay;

    void setup() override {
        target.listen(QHostAddress::LocalHost, 0);
        relay = std::make_unique<FaultyRelay>(target.serverPort());
        caller.connectToHost(QHostAddress::LocalHost, relay->port());
        waitFor([this] { return target.hasPendingConnections(); });
        accepted = target.nextPendingConnection();
    }
};

TEST(FaultyRelay, PassesBytesBothWays) {
    caller.write("hello");
    waitFor([this] { return accepted->bytesAvailable() == 5; });
    accepted->write("world!");
    waitFor([this] { return caller.bytesAvailable() == 6; });
}

TEST(FaultyRelay, HoldsBytesOfASilencedDirectionUntilItIsHealed) {
    relay->setFaults({milliseconds(0), true, false});
    caller.write("held");
    accepted->write("passes");
    waitFor([this] { return caller.bytesAvailable() == 6; });
    LONGS_EQUAL(0, accepted->bytesAvailable());
    relay->setFaults({});
    waitFor([this] { return accepted->bytesAvailable() == 4; });
}

TEST(FaultyRelay, NewConnectionsWaitWhileTheQueueIsFull) {
    relay->setQueueFull(true);
    QTcpSocket late;
    late.connectToHost(QHostAddress::LocalHost, relay->port());
    caller.write("passes");
    waitFor([this] { return accepted->bytesAvailable() == 6; });
    CHECK_FALSE(late.state() == QAbstractSocket::ConnectedState);
    relay->setQueueFull(false);
    waitFor([&late] { return late.state() == QAbstractSocket::ConnectedState; });
}

TEST(FaultyRelay, ResetsBothSides) {
    relay->resetAll();
    waitFor([this] {
        return caller.state() == QAbstractSocket::UnconnectedState &&
               accepted->state() == QAbstractSocket::UnconnectedState;
    });
}

TEST_GROUP(ReservedPort) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
};

TEST(ReservedPort, IsFreeForTcpAndGivenOnce) {
    const ReservedPort one;
    const ReservedPort other;
    CHECK(one.number() != 0);
    CHECK(one.number() != other.number());
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, one.number()));
}

TEST_GROUP(StandInStore) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    simulation::EventQueue queue;
    SeededRandom random{1};
    int promotions = 0;
    std::vector<std::string> arrived;
    StandInStore store{
        queue,
        random,
        [](std::size_t, const std::string&, const std::string&, QJsonObject spec) { return spec; },
        {[this](const PromotionCall& call) { arrived.push_back(call.server); },
         [this](const PromotionCall&) { return ++promotions == 1 ? 200 : 409; }}};
    std::uint16_t port = store.addProxy();

    /** @return the status and the body of the answer. */
    std::string call(const std::string& method, const std::string& path,
                     const std::string& body = {}) {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, port);
        const std::string text = method + " " + path +
                                 " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body;
        socket.write(text.c_str());
        waitFor([&socket] { return socket.bytesAvailable() > 0 && socket.canReadLine(); });
        waitFor([&socket] { return socket.peek(4096).contains("\r\n\r\n"); });
        const std::string answer = socket.readAll().toStdString();
        return answer.substr(9, 3) + answer.substr(answer.find("\r\n\r\n") + 4);
    }
};

TEST(StandInStore, ListsWhatWasCreatedAndRefusesASecondCreation) {
    const std::string body = R"({"meta":{"name":"a"},"spec":{"x":1}})";
    STRNCMP_EQUAL("201", call("POST", "/objects/things", body).c_str(), 3);
    STRNCMP_EQUAL("409", call("POST", "/objects/things", body).c_str(), 3);
    STRCMP_EQUAL(
        R"(200{"at":2,"has_more":false,"items":[{"meta":{"name":"a","revision":2},"spec":{"x":1}}]})",
        call("GET", "/objects/things").c_str());
    STRNCMP_EQUAL("404", call("GET", "/objects/things/b").c_str(), 3);
}

TEST(StandInStore, ReplacesOnlyTheVersionThatIsNamed) {
    store.put("things", "a", {{"x", 1}});
    const std::string stale = R"({"meta":{"name":"a","revision":1},"spec":{"x":2}})";
    STRNCMP_EQUAL("409", call("PUT", "/objects/things/a", stale).c_str(), 3);
    const std::string current = R"({"meta":{"name":"a","revision":2},"spec":{"x":2}})";
    STRNCMP_EQUAL("200", call("PUT", "/objects/things/a", current).c_str(), 3);
}

TEST(StandInStore, AWatchBringsChangesAndForgottenHistoryIsGone) {
    store.put("things", "a", {{"x", 1}});
    const std::string events = call("GET", "/objects/things?watch=1&wait_ms=1000");
    CHECK(events.find(R"("expired":false)") != std::string::npos);
    CHECK(events.find(R"("at":2)") != std::string::npos);
    store.put("things", "a", {{"x", 2}});
    store.faults().forgotten = true;
    STRNCMP_EQUAL("410", call("GET", "/objects/things?watch=1&wait_ms=1000").c_str(), 3);
}

TEST(StandInStore, AWriteThatChangesNothingRaisesNoVersionAndMakesNoEvent) {
    store.put("things", "a", {{"x", 1}});
    const std::string same = R"({"meta":{"name":"a","revision":2},"spec":{"x":1}})";
    const std::string answer = call("PUT", "/objects/things/a", same);
    STRCMP_EQUAL(R"(200{"meta":{"name":"a","revision":2},"spec":{"x":1}})", answer.c_str());
    store.put("things", "a", {{"x", 1}});
    queue.runUntil(queue.now());
    STRCMP_EQUAL(R"(200{"at":2,"events":[]})",
                 call("GET", "/objects/things?watch=2&wait_ms=0").c_str());
}

TEST(StandInStore, ARemovedEntryThatComesBackIsANewVersion) {
    store.put("things", "a", {{"x", 1}});
    store.remove("things", "a");
    STRNCMP_EQUAL("404", call("GET", "/objects/things/a").c_str(), 3);
    store.put("things", "a", {{"x", 1}});
    STRCMP_EQUAL(R"(200{"meta":{"name":"a","revision":4},"spec":{"x":1}})",
                 call("GET", "/objects/things/a").c_str());
}

TEST(StandInStore, AReturnGivesVersionsOutAgainAndEndsWatchesFromLaterOnes) {
    store.put("things", "a", {{"x", 1}});
    queue.runUntil(queue.now() + milliseconds(500));
    store.put("things", "a", {{"x", 2}});
    store.put("things", "b", {{"x", 3}});
    store.returnOlder(milliseconds(100));
    STRNCMP_EQUAL("410", call("GET", "/objects/things?watch=4&wait_ms=0").c_str(), 3);
    STRNCMP_EQUAL("404", call("GET", "/objects/things/b").c_str(), 3);
    store.put("things", "a", {{"x", 5}});
    STRCMP_EQUAL(R"(200{"meta":{"name":"a","revision":3},"spec":{"x":5}})",
                 call("GET", "/objects/things/a").c_str());
}

TEST(StandInStore, ALateWriteIsDoneUnansweredAndItsConnectionSaysNothingMore) {
    store.put("things", "a", {{"x", 1}});
    store.faults().writesLate = 1;
    store.faults().longestWriteDelay = milliseconds(1);
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port);
    const std::string body = R"({"meta":{"name":"a","revision":2},"spec":{"x":2}})";
    const std::string text =
        "PUT /objects/things/a HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    socket.write(text.c_str());
    const std::string written = R"(200{"meta":{"name":"a","revision":3},"spec":{"x":2}})";
    waitFor([&] { return call("GET", "/objects/things/a") == written; });
    socket.write("GET /objects/things/a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    STRCMP_EQUAL(written.c_str(), call("GET", "/objects/things/a").c_str());
    LONGS_EQUAL(0, socket.bytesAvailable());
}

TEST(StandInStore, CarriesAPromotionOutLaterThanItsCallArrives) {
    store.faults().promotionDelay = milliseconds(1);
    store.faults().promotionAnswersLost = true;
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port);
    const std::string body = R"({"service":"g","id":"s"})";
    const std::string text =
        "POST /failover HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    socket.write(text.c_str());
    waitFor([this] { return promotions == 1; });
    LONGS_EQUAL(1, arrived.size());
    STRCMP_EQUAL("s", arrived.front().c_str());
    LONGS_EQUAL(0, socket.bytesAvailable());
}

TEST(StandInStore, RefusesWhileItIsToldTo) {
    store.faults().refuses = true;
    STRNCMP_EQUAL("503", call("GET", "/objects/things").c_str(), 3);
}

TEST(StandInStore, PassesPromotionsOn) {
    const std::string body = R"({"service":"g","id":"s"})";
    STRNCMP_EQUAL("200", call("POST", "/failover", body).c_str(), 3);
    STRNCMP_EQUAL("409", call("POST", "/failover", body).c_str(), 3);
}

}  // namespace
}  // namespace coralhoist::soak
