#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>

#include "lab/soak/WireServer.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(WireServer) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    simulation::EventQueue queue;
    SeededRandom random{1};
    pooled::PooledJudge judge;
    pooled::RequestBook book;
    pooled::LogGroup group{GroupName("g"), {}, queue, judge};
    pooled::LogConnector connector{queue,
                                   random,
                                   judge,
                                   book,
                                   {{group.name(), &group}},
                                   std::make_shared<pooled::NodeActivity>()};
    WireServer server{connector, random, judge, book, group, ServerName("g-s1")};
    QTcpSocket first;
    QTcpSocket second;

    std::string ask(QTcpSocket & socket, const char* line) {
        socket.write(line);
        CHECK_TRUE(testing::waitUntil([&] {
            queue.runFor(milliseconds(1));
            return socket.canReadLine();
        }));
        return socket.readLine().trimmed().toStdString();
    }

    void connectTo(QTcpSocket & socket) {
        socket.connectToHost(QHostAddress::LocalHost, server.port());
    }

    void setLoad(std::size_t slots, std::size_t longestQueue, std::size_t connections) {
        ServerLoad load;
        load.slots = slots;
        load.longestQueue = longestQueue;
        load.connections = connections;
        server.slots().setLoad(load);
    }
};

TEST(WireServer, RefusesAStatusQuestionAsBusyBeyondItsQueue) {
    connectTo(first);
    STRCMP_EQUAL("READY I 1.0", ask(first, "CONNECT g caller g-s1\r\n").c_str());
    setLoad(0, 0, 10);
    STRCMP_EQUAL("ERROR RETRY refused", ask(first, "QUERY - STATUS\r\n").c_str());
    STRCMP_EQUAL("READY I 1.0", first.readLine().trimmed().toStdString().c_str());
}

TEST(WireServer, RefusesConnectionsBeyondItsLimit) {
    setLoad(3, 10, 1);
    connectTo(first);
    STRCMP_EQUAL("READY I 1.0", ask(first, "CONNECT g caller g-s1\r\n").c_str());
    connectTo(second);
    STRCMP_EQUAL("ERROR CONNLIMIT refused", ask(second, "CONNECT g caller g-s1\r\n").c_str());
}

TEST(WireServer, AQuestionWaitsForASlot) {
    connectTo(first);
    ask(first, "CONNECT g caller g-s1\r\n");
    setLoad(0, 10, 10);
    first.write("QUERY - STATUS\r\n");
    queue.runFor(milliseconds(100));
    QCoreApplication::processEvents();
    LONGS_EQUAL(0, first.bytesAvailable());
    setLoad(1, 10, 10);
    CHECK_TRUE(testing::waitUntil([&] {
        queue.runFor(milliseconds(1));
        return first.canReadLine();
    }));
    STRNCMP_EQUAL("ROW primary 1 1.0", first.readLine().toStdString().c_str(), 17);
    LONGS_EQUAL(0, judge.violations().size());
}

}  // namespace
}  // namespace coralhoist::soak
