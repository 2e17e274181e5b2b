#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <optional>

#include "base/SystemTime.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"

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

}  // namespace
}  // namespace coralhoist::socket
