#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <optional>

#include "base/SystemTime.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::socket {
namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr int kSlowStatus = 202;

/** Runs the event loop and the client's timers until a condition holds. */
template <typename Condition>
void waitFor(HttpClient& client, const SteadyClock& clock, Condition condition) {
    while (!condition()) {
        QCoreApplication::processEvents(QEventLoop::AllEvents);
        client.onTick(clock.now());
    }
}

TEST_GROUP(Http) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    SteadyClock clock;
    SocketPoller poller;
    std::vector<std::string> paths;
    HttpResponder responder{
        poller, [this](const std::string& path) {
            paths.push_back(path);
            return HttpPage{path == "/slow" ? kSlowStatus : 200, "body of " + path};
        }};

    void setup() override {
        CHECK_TRUE(responder.listen(kHost, 0).isOk());
    }
};

TEST(Http, AnswersOverAKeptConnection) {
    HttpClient client(poller, clock, kHost, responder.port());
    for (const char* path : {"/one", "/two"}) {
        std::optional<HttpAnswer> answer;
        HttpCall call{"GET", path, "", {}, std::chrono::seconds(5)};
        client.call(call, [&answer](const HttpAnswer& given) { answer = given; });
        waitFor(client, clock, [&answer] { return answer.has_value(); });
        CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::Answered);
        LONGS_EQUAL(200, answer->status);
        STRCMP_EQUAL((std::string("body of ") + path).c_str(), answer->body.c_str());
    }
    UNSIGNED_LONGS_EQUAL(2, paths.size());
}

TEST(Http, ACallToADeadPortWasNotSent) {
    std::uint16_t deadPort = 0;
    {
        HttpResponder other(poller, [](const std::string&) { return HttpPage{}; });
        CHECK_TRUE(other.listen(kHost, 0).isOk());
        deadPort = other.port();
    }
    HttpClient client(poller, clock, kHost, deadPort);
    std::optional<HttpAnswer> answer;
    client.call({"POST", "/x", "{}", {}, std::chrono::seconds(5)},
                [&answer](const HttpAnswer& given) { answer = given; });
    waitFor(client, clock, [&answer] { return answer.has_value(); });
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::NotSent);
}

TEST(Http, ACallWithoutAnswerIsLostWhenItsTimeIsUp) {
    StreamListener silent(poller, [](int /*descriptor*/) {});
    CHECK_TRUE(silent.listen(kHost, 0).isOk());
    HttpClient client(poller, clock, kHost, silent.port());
    std::optional<HttpAnswer> answer;
    client.call({"GET", "/x", "", {}, std::chrono::milliseconds(20)},
                [&answer](const HttpAnswer& given) { answer = given; });
    waitFor(client, clock, [&answer] { return answer.has_value(); });
    CHECK_FALSE(answer->outcome == HttpAnswer::Outcome::Answered);
}

/** Connections that are open may go silent for good while new ones work. */
TEST(Http, ACallMayHaveANewConnectionThoughOneIsOpen) {
    testing::ManualClock manual;
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0));
    HttpClient client(poller, manual, kHost, server.serverPort());
    bool answered = false;
    HttpCall call{"GET", "/x", "", {}, std::chrono::milliseconds(700)};
    client.call(call, [&answered](const HttpAnswer& /*given*/) { answered = true; });
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
    QTcpSocket* first = server.nextPendingConnection();
    CHECK_TRUE(testing::waitUntil([first] { return first->bytesAvailable() > 0; }));
    first->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(testing::waitUntil([&answered] { return answered; }));
    call.connection = HttpCall::Connection::New;
    client.call(call, [](const HttpAnswer& /*given*/) {});
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
}

TEST(Http, AfterACallWithoutAnswerTheOtherKeptConnectionsAreNotUsed) {
    testing::ManualClock manual;
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0));
    HttpClient client(poller, manual, kHost, server.serverPort());
    std::size_t answers = 0;
    const HttpCall call{"GET", "/x", "", {}, std::chrono::milliseconds(700)};
    const auto counted = [&answers](const HttpAnswer& /*given*/) { ++answers; };
    std::vector<QTcpSocket*> peers;
    client.call(call, counted);
    client.call(call, counted);
    CHECK_TRUE(testing::waitUntil([&] {
        while (server.hasPendingConnections()) {
            peers.push_back(server.nextPendingConnection());
        }
        return peers.size() == 2 && peers[0]->bytesAvailable() > 0 &&
               peers[1]->bytesAvailable() > 0;
    }));
    for (QTcpSocket* peer : peers) {
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    CHECK_TRUE(testing::waitUntil([&answers] { return answers == 2; }));
    client.call(call, counted);
    manual.advance(std::chrono::milliseconds(701));
    client.onTick(manual.now());
    UNSIGNED_LONGS_EQUAL(3, answers);
    client.call(call, counted);
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
}

/** Found on the small twin of spba-jobgrid-large, trouble-1: no node that started after the
 * configuration had grown became ready, since its list took longer than the call's time on a link
 * of 2 Mbit/s. */
TEST(Http, ACallGoesOnWhileItsAnswerArrives) {
    testing::ManualClock manual;
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0));
    HttpClient client(poller, manual, kHost, server.serverPort());
    std::optional<HttpAnswer> answer;
    client.call({"GET", "/large", "", {}, std::chrono::milliseconds(700)},
                [&answer](const HttpAnswer& given) { answer = given; });
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
    QTcpSocket* peer = server.nextPendingConnection();
    CHECK_TRUE(testing::waitUntil([peer] { return peer->bytesAvailable() > 0; }));
    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n");
    for (int part = 0; part < 4; ++part) {
        peer->write("0123456789");
        peer->flush();
        // Bytes arrive within these turns of the event loop; nothing tells when.
        for (int turn = 0; turn < 50; ++turn) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        }
        CHECK_TRUE(part == 3 || !answer.has_value());
        manual.advance(std::chrono::milliseconds(600));
        client.onTick(manual.now());
    }
    CHECK_TRUE(answer.has_value());
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::Answered);
    UNSIGNED_LONGS_EQUAL(40, answer->body.size());
}

TEST(Http, ACallIsLostWhenItsAnswerStops) {
    testing::ManualClock manual;
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0));
    HttpClient client(poller, manual, kHost, server.serverPort());
    std::optional<HttpAnswer> answer;
    client.call({"GET", "/large", "", {}, std::chrono::milliseconds(700)},
                [&answer](const HttpAnswer& given) { answer = given; });
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
    QTcpSocket* peer = server.nextPendingConnection();
    peer->write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n0123456789");
    peer->flush();
    for (int turn = 0; turn < 50; ++turn) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
    }
    manual.advance(std::chrono::milliseconds(2000));
    client.onTick(manual.now());
    CHECK_TRUE(answer.has_value());
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::Lost);
}

}  // namespace
}  // namespace coralhoist::socket
