#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <string>
#include <utility>
#include <vector>

#include "base/SystemTime.h"
#include "cluster/NodeRegistry.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"
#include "platform/PlatformCodec.h"
#include "platform/StoreProtocol.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::cluster {
namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr Duration kRenewal = std::chrono::seconds(60);

/** Hands everything on and remembers what was written. */
class RecordingCodec final : public ClusterCodec {
public:
    ClusterKinds kinds() const override { return _codec.kinds(); }
    std::optional<EstateImage> readEstate(const store::StoredObject& object) const override {
        return _codec.readEstate(object);
    }
    StatusWith<pooling::ServerAnnouncement> readServer(
        const store::StoredObject& object) const override {
        return _codec.readServer(object);
    }
    StatusWith<ZoneName> readEvacuation(const store::StoredObject& object) const override {
        return _codec.readEvacuation(object);
    }
    std::optional<failover::PromotionRecord> readPromotion(
        const store::StoredObject& object) const override {
        return _codec.readPromotion(object);
    }
    std::optional<pooling::ProxyNode> readNode(const store::StoredObject& object) const override {
        return _codec.readNode(object);
    }
    store::StoredObject writeNode(const pooling::ProxyNode& node,
                                  std::uint64_t replacedVersion) const override {
        written.push_back(_codec.writeNode(node, replacedVersion));
        return written.back();
    }
    store::StoredObject writePromotion(const GroupName& group,
                                       const failover::PromotionRecord& record) const override {
        return _codec.writePromotion(group, record);
    }
    std::optional<tenancy::QuotaShardRecord> readQuotaShard(
        const store::StoredObject& object) const override {
        return _codec.readQuotaShard(object);
    }
    store::StoredObject writeQuotaShard(const std::string& name,
                                        const tenancy::QuotaShardRecord& record) const override {
        return _codec.writeQuotaShard(name, record);
    }
    socket::HttpCall promoteCall(const GroupName& group, const ServerName& server,
                                 const NodeName& holder, std::uint64_t fence) const override {
        return _codec.promoteCall(group, server, holder, fence);
    }
    failover::PromoteOutcome readPromoteAnswer(const socket::HttpAnswer& answer) const override {
        return _codec.readPromoteAnswer(answer);
    }

    mutable std::vector<store::StoredObject> written;

private:
    platform_adapter::PlatformCodec _codec;
};

TEST_GROUP(NodeRegistry) {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    SeededRandom random{1};
    StoreEra era{clock};
    socket::SocketPoller poller;
    socket::HttpResponder responder{poller, [this](const std::string& path) { return next(path); }};
    platform_adapter::StoreProtocol protocol;
    RecordingCodec codec;
    pooling::ProxyNode self{NodeName("self"), ZoneName("z"), kHost, 1};
    std::unique_ptr<socket::HttpClient> client;
    std::unique_ptr<NodeRegistry> registry;
    /** What the store holds of an earlier life of the node. */
    store::StoredObject stored;
    std::size_t answered = 0;

    void setup() override {
        CHECK_TRUE(responder.listen(kHost, 0).isOk());
        client = std::make_unique<socket::HttpClient>(poller, clock, kHost, responder.port());
        registry =
            std::make_unique<NodeRegistry>(*client, protocol, codec, clock, random, era, self);
    }

    void teardown() override {
        registry.reset();
        client.reset();
    }

    std::string storedText() const {
        return R"({"meta":{"name":"self","revision":)" + std::to_string(stored.version.revision) +
               R"(},"spec":{"zone":"z","addr":"127.0.0.1:1"}})";
    }

    /** A creation finds the registration; a replacement is taken when it changes it. */
    socket::HttpPage next(const std::string& path) {
        if (path == "/objects/proxies") {
            ++answered;
            return {kConflict, storedText()};
        }
        if (path == "/objects/proxies/self") {
            ++answered;
            if (codec.written.back().content != stored.content) {
                stored.content = codec.written.back().content;
                ++stored.version.revision;
            }
            return {kOk, storedText()};
        }
        return {kOk, R"({"items":[],"has_more":false,"at":10})"};
    }

    void waitForAnswers(std::size_t expected) {
        CHECK_TRUE(testing::waitUntil([this, expected] {
            client->onTick(clock.now());
            registry->onTick(clock.now());
            return answered == expected;
        }));
        int slices = 0;
        // The last answer is on its way.
        testing::waitUntil([&slices] { return ++slices > 5; });
    }
};

TEST(NodeRegistry, EachRenewalChangesTheRegistrationOfAnEarlierLife) {
    constexpr std::uint64_t kRenewalsOfEarlierLives = 3;
    stored = codec.writeNode(self, 1);
    stored.version.revision = 6;
    waitForAnswers(1);
    for (std::uint64_t renewal = 1; renewal <= kRenewalsOfEarlierLives; ++renewal) {
        clock.advance(kRenewal);
        waitForAnswers(1 + renewal);
        UNSIGNED_LONGS_EQUAL(6 + renewal, stored.version.revision);
    }
}

TEST(NodeRegistry, ANodeRegistersAgainWhenTheStoreHasReturnedOlder) {
    stored = codec.writeNode(self, 1);
    stored.version.revision = 6;
    waitForAnswers(1);
    era.note(1, "store");
    era.note(2, "store");
    waitForAnswers(1);
    clock.advance(std::chrono::milliseconds(1500));
    waitForAnswers(2);
}

/** Answers each call of the registry 5 ms after it was made. */
class ListingStore final : public socket::HttpCaller {
public:
    void call(const socket::HttpCall& call, socket::HttpCallback callback) override {
        _waiting.push_back({call, std::move(callback)});
    }
    void answer() {
        for (auto& [call, callback] : std::exchange(_waiting, {})) {
            const bool isList = call.method == "GET";
            listsAsked += isList ? 1 : 0;
            const std::string body = isList ? R"({"items":[)" + listed +
                                                  R"(],"has_more":false,"at":)" +
                                                  std::to_string(version) + "}"
                                            : registration("self");
            callback({socket::HttpAnswer::Outcome::Answered, kOk, body});
        }
    }
    static std::string registration(const std::string& node) {
        return R"({"meta":{"name":")" + node +
               R"(","revision":3},"spec":{"zone":"z","addr":"127.0.0.1:1"}})";
    }
    /** Shows the registry's own node and others. */
    void show(int others) {
        listed = registration("self");
        for (int index = 0; index < others; ++index) {
            listed += "," + registration("n" + std::to_string(index));
        }
    }

    std::string listed;
    std::uint64_t version = 10;
    std::size_t listsAsked = 0;

private:
    std::vector<std::pair<socket::HttpCall, socket::HttpCallback>> _waiting;
};

TEST_GROUP(NodeRegistryPace) {
    testing::ManualClock clock;
    SeededRandom random{1};
    StoreEra era{clock};
    platform_adapter::StoreProtocol protocol;
    platform_adapter::PlatformCodec codec;
    ListingStore store;
    std::unique_ptr<NodeRegistry> registry;

    void start() {
        registry = std::make_unique<NodeRegistry>(
            store, protocol, codec, clock, random, era,
            pooling::ProxyNode{NodeName("self"), ZoneName("z"), kHost, 1});
        store.listsAsked = 0;
        UNSIGNED_LONGS_EQUAL(1, listsIn(std::chrono::milliseconds(20)));
    }
    /** @return lists that are read in that time. */
    std::size_t listsIn(Duration span) {
        const std::size_t before = store.listsAsked;
        for (const TimePoint end = clock.now() + span; clock.now() < end;) {
            registry->onTick(clock.now());
            clock.advance(std::chrono::milliseconds(5));
            store.answer();
        }
        return store.listsAsked - before;
    }
};

TEST(NodeRegistryPace, TheFirstListsEndWithOneThatConfirmsTheOneBefore) {
    store.show(2);
    start();
    ++store.version;
    UNSIGNED_LONGS_EQUAL(1, listsIn(std::chrono::seconds(6)));
}

/** A store may answer twice from the same old copy, which lacks those that are starting. */
TEST(NodeRegistryPace, AListOfTheSameVersionConfirmsNothing) {
    store.show(2);
    start();
    UNSIGNED_LONGS_EQUAL(4, listsIn(std::chrono::seconds(10)));
}

TEST(NodeRegistryPace, ListsThatShowOthersFollowEachOther) {
    store.show(2);
    start();
    ++store.version;
    store.show(3);
    CHECK(listsIn(std::chrono::seconds(3)) >= 2);
}

/** All nodes list all nodes: without a slower pace that grows with the square of the estate. */
TEST(NodeRegistryPace, WhatANodeReadsInASecondDoesNotGrowWithTheNodes) {
    for (const int nodes : {300, 1200}) {
        store.show(nodes);
        start();
        listsIn(std::chrono::seconds(20));
        constexpr std::size_t kSeconds = 300;
        // One each 50 ms, and a pause may be halved by chance.
        constexpr std::size_t kMostObjectsInASecond = 40;
        const std::size_t lists = listsIn(std::chrono::seconds(kSeconds));
        CHECK(lists > 0);
        CHECK(lists * static_cast<std::size_t>(nodes) <= kMostObjectsInASecond * kSeconds);
    }
}

}  // namespace
}  // namespace coralhoist::cluster
