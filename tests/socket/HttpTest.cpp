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

/**
 * A server whose connections are open as soon as its host has them: a client that stands still
 * while it connects finds its connection open when it goes on.
 */
struct OpeningServer {
    QTcpServer server;
    std::unique_ptr<QTcpSocket> peer;

    OpeningServer() { CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0)); }

    /** @return what the client has sent once its connection is closed. */
    QByteArray receivedUntilClosed() {
        CHECK_TRUE(testing::waitUntil([this] { return server.hasPendingConnections(); }));
        peer.reset(server.nextPendingConnection());
        CHECK_TRUE(testing::waitUntil(
            [this] { return peer->state() == QAbstractSocket::UnconnectedState; }));
        return peer->readAll();
    }
};

/** Guards against a promotion call that a frozen node sends when it goes on: the connection is
 * open by then, and is reported before the timer that would end the call. */
TEST(Http, ACallIsNotSentWhenItsConnectionOpensAfterItsTimeLimit) {
    testing::ManualClock manual;
    OpeningServer receiver;
    HttpClient client(poller, manual, kHost, receiver.server.serverPort());
    std::optional<HttpAnswer> answer;
    client.call({"POST", "/x", "{}", {}, std::chrono::milliseconds(900)},
                [&answer](const HttpAnswer& given) { answer = given; });
    manual.advance(std::chrono::milliseconds(900));
    CHECK_TRUE(testing::waitUntil([&answer] { return answer.has_value(); }));
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::NotSent);
    client.onTick(manual.now());
    LONGS_EQUAL(0, receiver.receivedUntilClosed().size());
}

/** Guards against a call that leaves within its time limit, but after the claim it was decided
 * under may have passed to another node. */
TEST(Http, ACallIsNotSentAfterTheTimeByWhichItMustBeSent) {
    testing::ManualClock manual;
    OpeningServer receiver;
    HttpClient client(poller, manual, kHost, receiver.server.serverPort());
    std::optional<HttpAnswer> answer;
    HttpCall call{"POST", "/x", "{}", {}, std::chrono::milliseconds(900)};
    call.sendBy = manual.now() + std::chrono::milliseconds(100);
    client.call(call, [&answer](const HttpAnswer& given) { answer = given; });
    manual.advance(std::chrono::milliseconds(100));
    CHECK_TRUE(testing::waitUntil([&answer] { return answer.has_value(); }));
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::NotSent);
    client.onTick(manual.now());
    LONGS_EQUAL(0, receiver.receivedUntilClosed().size());
}

TEST(Http, ACallThatCannotBeSentInTimeEndsAtThatTime) {
    testing::ManualClock manual;
    HttpClient client(poller, manual, kHost, responder.port());
    std::optional<HttpAnswer> answer;
    HttpCall call{"POST", "/x", "{}", {}, std::chrono::milliseconds(900)};
    call.sendBy = manual.now() + std::chrono::milliseconds(100);
    client.call(call, [&answer](const HttpAnswer& given) { answer = given; });
    CHECK_TRUE(client.nextTick() == call.sendBy);
    client.onTick(*call.sendBy);
    CHECK_TRUE(answer && answer->outcome == HttpAnswer::Outcome::NotSent);
}

/** Guards against the rest of a call that waits in the send buffer of an open connection and is
 * sent when a frozen node goes on. */
TEST(Http, BytesThatWaitInTheSendBufferAreNotSentAfterTheTimeLimit) {
    testing::ManualClock manual;
    OpeningServer receiver;
    HttpClient client(poller, manual, kHost, receiver.server.serverPort());
    std::optional<HttpAnswer> answer;
    const std::string body(std::size_t{64} * 1024 * 1024, 'x');
    client.call({"POST", "/x", body, {}, std::chrono::milliseconds(900)},
                [&answer](const HttpAnswer& given) { answer = given; });
    CHECK_TRUE(testing::waitUntil([&receiver] { return receiver.server.hasPendingConnections(); }));
    manual.advance(std::chrono::milliseconds(900));
    const qsizetype received = receiver.receivedUntilClosed().size();
    CHECK_TRUE(answer && answer->outcome == HttpAnswer::Outcome::Lost);
    CHECK_TRUE(received < static_cast<qsizetype>(body.size()));
    client.onTick(manual.now());
}

/** Guards against a call that the system delivers seconds later, over a link that was cut while the
 * node froze. The receiver takes no bytes, and the node's clock stands still. */
TEST(Http, TheSystemGivesUpACallThatMustNotBeLate) {
    testing::ManualClock manual;
    QTcpServer server;
    CHECK_TRUE(server.listen(QHostAddress::LocalHost, 0));
    HttpClient client(poller, manual, kHost, server.serverPort());
    std::optional<HttpAnswer> answer;
    HttpCall call{"POST",
                  "/x",
                  std::string(std::size_t{64} * 1024 * 1024, 'x'),
                  {},
                  std::chrono::milliseconds(300)};
    call.sendBy = manual.now() + std::chrono::milliseconds(300);
    client.call(call, [&answer](const HttpAnswer& given) { answer = given; });
    CHECK_TRUE(testing::waitUntil([&server] { return server.hasPendingConnections(); }));
    const std::unique_ptr<QTcpSocket> peer(server.nextPendingConnection());
    peer->setReadBufferSize(1);
    const TimePoint begun = clock.now();
    CHECK_TRUE(testing::waitUntil([&answer] { return answer.has_value(); }));
    CHECK_TRUE(answer->outcome == HttpAnswer::Outcome::Lost);
    CHECK_TRUE(clock.now() - begun < std::chrono::seconds(3));
    client.onTick(manual.now());
}

}  // namespace
}  // namespace coralhoist::socket
