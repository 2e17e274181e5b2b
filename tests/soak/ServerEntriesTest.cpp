#include <CppUTest/TestHarness.h>

#include "lab/soak/ServerEntries.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(ServerEntries) {
    simulation::EventQueue queue;
    SeededRandom random{1};
    pooled::PooledJudge judge;
    pooled::LogGroup group{GroupName("g"), {}, queue, judge};
    StandInStore store{
        queue,
        random,
        [](std::size_t, const std::string&, const std::string&, QJsonObject spec) { return spec; },
        {[](const PromotionCall&) {}, [](const PromotionCall&) { return 200; }}};
    ServerEntries entries{queue, group, store};
    const ServerName server{"g-s2"};

    void setup() override {
        for (const auto& each : group.servers()) {
            entries.setPort(each->name, 1);
        }
        entries.start();
        queue.runFor(milliseconds(100));
    }

    bool isListed() const {
        return store.contains("servers", server.value());
    }
};

TEST(ServerEntries, AnEntryThatLapsedComesBackWithTheHeartbeats) {
    CHECK_TRUE(isListed());
    entries.lapse(server);
    queue.runFor(milliseconds(200));
    CHECK_FALSE(isListed());
    CHECK_TRUE(group.server(server).running);
    entries.resume(server);
    queue.runFor(milliseconds(100));
    CHECK_TRUE(isListed());
}

TEST(ServerEntries, TheEntryOfACrashedServerGoesAfterAWhile) {
    group.crash(group.server(server));
    queue.runFor(milliseconds(1000));
    CHECK_TRUE(isListed());
    queue.runFor(milliseconds(1000));
    CHECK_FALSE(isListed());
}

TEST(ServerEntries, AStoreThatIsDownRemovesNothing) {
    store.faults().refuses = true;
    group.crash(group.server(server));
    queue.runFor(milliseconds(3000));
    CHECK_TRUE(isListed());
}

}  // namespace
}  // namespace coralhoist::soak
