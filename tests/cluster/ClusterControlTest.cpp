#include <CppUTest/TestHarness.h>

#include <QCoreApplication>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "cluster/ClusterControl.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"
#include "platform/PlatformCodec.h"
#include "platform/ServerWire.h"
#include "platform/StoreProtocol.h"
#include "tests/support/ManualClock.h"
#include "tests/support/QtTestLoop.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "127.0.0.1";
constexpr int kUnavailable = 503;
constexpr Duration kEvacuationBound = milliseconds(3000);

/** Counts the connections that are opened; none ever opens. */
class CountingConnector final : public pooling::ServerConnector {
public:
    ConnectionId open(const pooling::ServerAddress& /*address*/, const TenantName& /*tenant*/,
                      pooling::ServerEvents& /*events*/) override {
        return ConnectionId(++opened);
    }
    void send(ConnectionId /*connection*/,
              const std::vector<pooling::ServerCommand>& /*commands*/) override {}
    void close(ConnectionId /*connection*/) override {}

    std::uint64_t opened = 0;
};

/** A node alone, whose store lists everything once and then gives no records for proofs. */
TEST_GROUP(ClusterControl), public pooling::PoolerOutput, public pooling::ProofQuestions,
    public pooling::ProofAnswers, public store::FeedQuestions, public store::FeedAnswers {
    int count = 1;
    char name[8] = "test";
    char* arguments[1] = {name};
    QCoreApplication application{count, arguments};
    testing::ManualClock clock;
    StoreEra era{clock};
    SeededRandom random{1};
    socket::SocketPoller poller;
    socket::HttpResponder responder{poller, [this](const std::string& path) { return next(path); }};
    platform_adapter::StoreProtocol protocol;
    platform_adapter::PlatformCodec codec;
    CountingConnector connector;
    failover::ReportParser parser = platform_adapter::readReport;
    std::unique_ptr<pooling::StatementPooler> pooler;
    std::unique_ptr<socket::HttpClient> client;
    std::unique_ptr<ClusterControl> control;
    std::size_t recordLists = 0;
    /** Who was told of settings, in order. */
    std::vector<std::string> told;
    std::vector<std::string> paths;
    std::vector<store::FeedQuestion> feedQuestions;
    std::string evacuations;
    /** Nodes that could be asked for changes. */
    std::string otherNodes;
    /** Groups beside g1 and g2, each of a primary and two replicas. */
    int furtherGroups = 0;

    void setup() override {
        CHECK_TRUE(responder.listen(kHost, 0).isOk());
        pooling::PoolerKnobs knobs;
        knobs.node = NodeName("self");
        knobs.zone = ZoneName("z");
        pooler = std::make_unique<pooling::StatementPooler>(clock, connector, *this, knobs);
        client = std::make_unique<socket::HttpClient>(poller, clock, kHost, responder.port());
        makeControl({});
    }

    void makeControl(EvacuationFollowing following) {
        FreshnessBounds bounds;
        bounds.evacuations = following.zones == nullptr ? Duration(0) : kEvacuationBound;
        control = std::make_unique<ClusterControl>(
            ClusterDependencies{
                clock,
                random,
                *client,
                era,
                *client,
                protocol,
                codec,
                connector,
                parser,
                *this,
                *this,
                *this,
                *this,
                pooling::ProxyNode{NodeName("self"), ZoneName("z"), kHost, 1},
                [](const std::vector<pooling::ProxyNode>&) {},
                [this](const std::shared_ptr<const tenancy::TenantDirectory>& /*tenants*/) {
                    told.emplace_back("tenants");
                },
                "self/1",
                bounds,
                nullptr,
                nullptr,
                [this](const pooling::ServiceCatalog& catalog,
                       const tenancy::TenantDirectory& /*tenants*/) {
                    CHECK_TRUE(catalog.find(ServiceName("a")) != nullptr);
                    CHECK_FALSE(pooler->hasService(ServiceName("a")));
                    told.emplace_back("settings");
                },
                {},
                std::move(following)},
            *pooler);
    }

    void teardown() override {
        control.reset();
        client.reset();
    }

    socket::HttpPage next(const std::string& path) {
        paths.push_back(path);
        if (path.find("watch=") != std::string::npos) {
            return {kUnavailable, ""};
        }
        if (path.rfind("/objects/config", 0) == 0) {
            return {200,
                    R"({"items":[{"meta":{"name":"main","revision":5},"spec":{"version":3,"routes":[
                    {"host":"a","service":"g1","kind":"primary","timeout_ms":800,"target_ms":150},
                    {"host":"b","service":"g2","kind":"primary","timeout_ms":800,"target_ms":150}],
                    "services":[{"name":"g1","max_conns":60,"sync_replicas":1},
                    {"name":"g2","max_conns":60,"sync_replicas":1})" +
                        furtherServices() + R"(],"limits":{}}}],
                    "has_more":false,"at":10})"};
        }
        if (path.rfind("/objects/servers", 0) == 0) {
            return {200, R"({"items":[)" + server("s1", "g1", "primary") + "," +
                             server("s2", "g1", "replica") + "," + server("s3", "g2", "primary") +
                             "," + server("s4", "g2", "replica") + furtherServers() +
                             R"(],"has_more":false,"at":10})"};
        }
        if (path.rfind("/objects/promotions", 0) == 0 && ++recordLists > 1) {
            return {kUnavailable, ""};
        }
        if (path.rfind("/objects/evacuations", 0) == 0) {
            return {200, R"({"items":[)" + evacuations + R"(],"has_more":false,"at":10})"};
        }
        if (path.rfind("/objects/proxies", 0) == 0) {
            return {200,
                    R"({"items":[{"meta":{"name":"self","revision":6},"spec":{"zone":"z",
                    "addr":"127.0.0.1:1"}})" +
                        otherNodes + R"(],"has_more":false,"at":10})"};
        }
        return {200, R"({"items":[],"has_more":false,"at":10})"};
    }

    static std::string furtherName(int index) {
        return "further" + std::to_string(index);
    }
    std::string furtherServices() const {
        std::string text;
        for (int index = 0; index < furtherGroups; ++index) {
            text += R"(,{"name":")" + furtherName(index) + R"(","max_conns":60,"sync_replicas":1})";
        }
        return text;
    }
    std::string furtherServers() const {
        std::string text;
        for (int index = 0; index < furtherGroups; ++index) {
            const std::string group = furtherName(index);
            text += "," + server(group + "-a", group, "primary") + "," +
                    server(group + "-b", group, "replica") + "," +
                    server(group + "-c", group, "replica");
        }
        return text;
    }

    static std::string server(const std::string& id, const std::string& group,
                              const std::string& role) {
        return R"({"meta":{"name":")" + id + R"(","revision":4},"spec":{"service":")" + group +
               R"(","addr":"127.0.0.1:1","zone":"z","slots":2,"state":"ready","db_role":")" + role +
               R"("}})";
    }

    void run(Duration span) {
        for (Duration passed{0}; passed < span; passed += milliseconds(10)) {
            clock.advance(milliseconds(10));
            client->onTick(clock.now());
            control->onTick(clock.now());
            QCoreApplication::processEvents(QEventLoop::AllEvents, 1);
        }
    }

    void reply(SessionId /*session*/, pooling::StatementResult /*result*/) override {}
    void closeSession(SessionId /*session*/) override {}
    void wantLeadershipProof(const GroupName& group) override {
        control->wantLeadershipProof(group);
    }
    void suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                        pooling::SuspicionReason /*reason*/) override {}
    bool canReach(const NodeName& /*node*/) const override {
        return !otherNodes.empty();
    }
    void askForProof(const NodeName& /*node*/, std::uint64_t /*question*/,
                     const pooling::ProofNeed& /*need*/) override {}
    void answerProof(std::uint64_t /*asker*/, const std::optional<pooling::HandedProof>& /*proof*/)
        override {}
    void askForChanges(const NodeName& /*node*/, std::uint64_t /*question*/,
                       const store::FeedQuestion& asked) override {
        feedQuestions.push_back(asked);
    }
    void answerFeed(std::uint64_t /*asker*/, const std::optional<store::FeedAnswer>& /*answer*/)
        override {}

    /** Starts with so many groups, until all are known. */
    void startWith(int groups) {
        furtherGroups = groups;
        CHECK_TRUE(testing::waitUntil([this] {
            run(milliseconds(10));
            return control->isReady();
        }));
        run(milliseconds(1000));
    }
    /** Few and many groups that nothing happens to are not looked at. */
    void checkRest(int groups) {
        startWith(groups);
        UNSIGNED_LONGS_EQUAL(0, control->activeFailovers());
        const std::uint64_t before = control->failoversVisited();
        run(milliseconds(1000));
        UNSIGNED_LONGS_EQUAL(before, control->failoversVisited());
    }
    /** @return looks at failovers from a suspicion until all are at rest again. */
    std::uint64_t workOfASuspicion(int groups) {
        startWith(groups);
        const std::uint64_t before = control->failoversVisited();
        control->suspectPrimary(GroupName("g1"), ServerName("s1"),
                                pooling::SuspicionReason::Silent);
        run(milliseconds(100));
        UNSIGNED_LONGS_EQUAL(1, control->activeFailovers());
        CHECK(connector.opened > 0);
        CHECK_TRUE(testing::waitUntil([this] {
            run(milliseconds(10));
            return control->activeFailovers() == 0;
        }));
        return control->failoversVisited() - before;
    }
};

/** Home regions must bind before a statement that waited is placed by the new settings. */
TEST(ClusterControl, ChangedSettingsAreToldBeforeAnythingActsOnThem) {
    CHECK_TRUE(testing::waitUntil([this] {
        run(milliseconds(10));
        return control->isReady();
    }));
    CHECK_TRUE(told == (std::vector<std::string>{"settings", "tenants"}));
    CHECK_TRUE(pooler->hasService(ServiceName("a")));
}

/**
 * Found on spba-jobgrid-large, trouble-2: after a loss of power with a slow store each of 110 nodes
 * opened a connection to each of 60 servers, and the servers' slots were taken for two seconds.
 */
TEST(ClusterControl, AStartAsksServersForProofsOnlyWhereStatementsWait) {
    CHECK_TRUE(testing::waitUntil([this] {
        run(milliseconds(10));
        return control->isReady();
    }));
    run(milliseconds(1000));
    CHECK_TRUE(recordLists > 1);
    UNSIGNED_LONGS_EQUAL(0, connector.opened);
    control->wantLeadershipProof(GroupName("g1"));
    run(milliseconds(1000));
    // The two servers of the one group, and not again while they do not answer.
    CHECK_TRUE(connector.opened >= 2);
    CHECK_TRUE(connector.opened <= 8);
}

TEST(ClusterControl, WithoutEvacuationsNothingOfThemIsAskedForOrTold) {
    for (const char* node : {"a", "b", "c", "d", "e", "f"}) {
        otherNodes += R"(,{"meta":{"name":")" + std::string(node) +
                      R"(","revision":7},"spec":{"zone":"z","addr":"127.0.0.1:2"}})";
    }
    CHECK_TRUE(testing::waitUntil([this] {
        run(milliseconds(10));
        return control->isReady() && !feedQuestions.empty();
    }));
    run(milliseconds(4000));
    for (const std::string& path : paths) {
        CHECK_TRUE(path.find("evacuations") == std::string::npos);
    }
    for (const store::FeedQuestion& question : feedQuestions) {
        UNSIGNED_LONGS_EQUAL(3, question.positions.size());
    }
    CHECK_TRUE(control->evacuationsProvenAt() == TimePoint{});
}

TEST(ClusterControl, EvacuationsAreFollowedAndWhatNamesNoZoneHidesNoOther) {
    evacuations =
        R"({"meta":{"name":"z","revision":8},"spec":{}},{"meta":{"name":"moon","revision":9},"spec":{}},
        {"meta":{"name":"no name","revision":9},"spec":{}})";
    locality::EvacuatedZones zones{kEvacuationBound};
    const locality::RegionMap regions({{ZoneName("z"), RegionName("r")}});
    std::set<GroupName> groupsTold;
    makeControl({&zones, &regions,
                 [&groupsTold](const GroupName& group, const pooling::ServerDirectory::Servers&) {
                     groupsTold.insert(group);
                 }});
    CHECK_TRUE(testing::waitUntil([this] {
        run(milliseconds(10));
        return control->isReady();
    }));
    run(milliseconds(4000));
    UNSIGNED_LONGS_EQUAL(1, zones.zones().size());
    CHECK_TRUE(zones.useOf(ZoneName("z"), clock.now()) == locality::ZoneUse::Closed);
    UNSIGNED_LONGS_EQUAL(2, control->unreadableEntries());
    UNSIGNED_LONGS_EQUAL(2, groupsTold.size());
    CHECK_TRUE(clock.now() - control->evacuationsProvenAt() <= kEvacuationBound);
    evacuations.clear();
    run(milliseconds(4000));
    CHECK_FALSE(zones.isEvacuated(ZoneName("z")));
}

TEST(ClusterControl, FewGroupsAtRestAreNotLookedAt) {
    checkRest(10);
}

TEST(ClusterControl, ManyGroupsAtRestAreNotLookedAt) {
    checkRest(300);
}

TEST(ClusterControl, ASuspicionIsFollowedAmongManyGroupsByLooksAtItsGroupAlone) {
    // A suspicion holds for 250 ms; with a look each 10 ms, and less than one attempt of a
    // failover.
    CHECK(workOfASuspicion(300) < 200);
}

/** Records of before may be gone, and each group's is to be confirmed. */
TEST(ClusterControl, AReturnOfTheStoreWakesAllGroups) {
    era.note(1, "store");
    startWith(10);
    const std::size_t before = control->activeFailovers();
    era.note(2, "store");
    run(milliseconds(100));
    UNSIGNED_LONGS_EQUAL(12, control->activeFailovers());
    CHECK(before <= 12);
}

/** Until it has one, its failover may have to promote a server. */
TEST(ClusterControl, AGroupWithoutAPrimaryIsNotAtRest) {
    startWith(5);
    pooler->applyServers(GroupName("g2"), {});
    control->onPrimaryChanged(GroupName("g2"));
    run(milliseconds(300));
    UNSIGNED_LONGS_EQUAL(1, control->activeFailovers());
}

}  // namespace
}  // namespace coralhoist::cluster
