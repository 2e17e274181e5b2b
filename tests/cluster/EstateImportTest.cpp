#include <CppUTest/TestHarness.h>

#include "cluster/EstateImport.h"
#include "pooling/ServiceCatalog.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;

ImportedService service(const char* name, int rank) {
    ImportedService result;
    result.name = ServiceName(name);
    result.group = GroupName("g1");
    result.readRouting = settings::ReadRouting::Replica;
    result.maxStaleness = milliseconds(1500);
    result.statementTimeout = milliseconds(800);
    result.latencyObjective = milliseconds(250);
    result.rank = rank;
    return result;
}

EstateImage image(std::uint64_t version, std::vector<ImportedService> services) {
    EstateImage result;
    result.version = version;
    result.idleInTransactionTimeout = milliseconds(3000);
    result.groups.push_back({GroupName("g1"), 34, 0});
    result.services = std::move(services);
    return result;
}

TEST_GROUP(EstateImport) {
    settings::SettingsTree tree;
    EstateImport import{tree};

    std::shared_ptr<const pooling::ServiceCatalog> catalog() {
        return pooling::makeCatalog(*tree.snapshot());
    }
};

TEST(EstateImport, PutsServicesIntoTheTreeWithInheritance) {
    CHECK_TRUE(import.apply(image(5, {service("a", 2), service("b", 1)})).changed);
    const auto services = catalog();
    const pooling::CatalogEntry* a = services->find(ServiceName("a"));
    CHECK(a != nullptr);
    STRCMP_EQUAL("g1", a->group.value().c_str());
    CHECK_TRUE(a->settings.statementTimeout == milliseconds(800));
    CHECK_TRUE(a->settings.maxStaleness == milliseconds(1500));
    CHECK_TRUE(a->settings.latencyObjective == milliseconds(250));
    // Set on the estate, inherited by the service.
    CHECK_TRUE(a->settings.idleInTransactionTimeout == milliseconds(3000));
    CHECK_TRUE(a->settings.priority == settings::Priority::Ordinary);
    CHECK_TRUE(services->find(ServiceName("b"))->settings.priority == settings::Priority::Urgent);
    UNSIGNED_LONGS_EQUAL(34, services->groups.at(GroupName("g1")).connectionsPerServer);
    UNSIGNED_LONGS_EQUAL(0, services->groups.at(GroupName("g1")).synchronousReplicas);
}

TEST(EstateImport, HomesAndColdStartsReachTheCatalog) {
    ImportedService bound = service("a", 1);
    bound.homeRegions = {RegionName("north"), RegionName("south")};
    EstateImage estate = image(5, {bound, service("b", 1)});
    estate.groups[0].coldRequestsPerSecond = 10;
    estate.groups[0].coldStart = milliseconds(6500);
    CHECK_TRUE(import.apply(estate).refused.empty());
    const auto services = catalog();
    const settings::GroupSettings& group = services->groups.at(GroupName("g1"));
    DOUBLES_EQUAL(10, group.coldRequestsPerSecond, 1e-9);
    CHECK_TRUE(group.coldStart == milliseconds(6500));
    CHECK_TRUE(services->find(ServiceName("a"))->settings.homeRegions == bound.homeRegions);
    CHECK_TRUE(services->find(ServiceName("b"))->settings.homeRegions.empty());
    import.apply(image(6, {service("a", 1), service("b", 1)}));
    CHECK_TRUE(catalog()->find(ServiceName("a"))->settings.homeRegions.empty());
    DOUBLES_EQUAL(0, catalog()->groups.at(GroupName("g1")).coldRequestsPerSecond, 1e-9);
}

TEST(EstateImport, EachRankHasItsPlace) {
    import.apply(image(5, {service("a", 7), service("b", 0), service("c", 3), service("d", 7)}));
    const auto services = catalog();
    const auto rankOf = [&](const char* name) {
        return services->find(ServiceName(name))->settings.admissionRank();
    };
    UNSIGNED_LONGS_EQUAL(0, rankOf("b"));
    UNSIGNED_LONGS_EQUAL(1, rankOf("c"));
    UNSIGNED_LONGS_EQUAL(2, rankOf("a"));
    UNSIGNED_LONGS_EQUAL(2, rankOf("d"));
}

TEST(EstateImport, EqualRanksAreAllOrdinary) {
    import.apply(image(5, {service("a", 2), service("b", 2)}));
    UNSIGNED_LONGS_EQUAL(1, catalog()->find(ServiceName("a"))->settings.admissionRank());
}

TEST(EstateImport, RanksBeyondTheLastShareIt) {
    std::vector<ImportedService> services;
    for (int rank = 0; rank < 20; ++rank) {
        services.push_back(service(("s" + std::to_string(rank)).c_str(), rank));
    }
    CHECK_TRUE(import.apply(image(5, services)).refused.empty());
    UNSIGNED_LONGS_EQUAL(settings::kAdmissionRanks - 1,
                         catalog()->find(ServiceName("s19"))->settings.admissionRank());
}

TEST(EstateImport, RemovesWhatANewerImageLacks) {
    import.apply(image(5, {service("a", 1), service("b", 1)}));
    CHECK_TRUE(import.apply(image(6, {service("b", 1)})).changed);
    POINTERS_EQUAL(nullptr, catalog()->find(ServiceName("a")));
    CHECK(catalog()->find(ServiceName("b")) != nullptr);
    import.apply(image(7, {service("a", 1)}));
    CHECK(catalog()->find(ServiceName("a")) != nullptr);
}

TEST(EstateImport, IgnoresAnOlderImage) {
    import.apply(image(6, {service("b", 1)}));
    CHECK_FALSE(import.apply(image(5, {service("a", 1)})).changed);
    POINTERS_EQUAL(nullptr, catalog()->find(ServiceName("a")));
}

TEST(EstateImport, NamesTheNodesThatTheTreeRefuses) {
    ImportedService odd = service("a", 1);
    odd.statementTimeout = std::chrono::hours(1000);
    const ImportOutcome outcome = import.apply(image(5, {odd, service("b", 1)}));
    UNSIGNED_LONGS_EQUAL(1, outcome.refused.size());
    STRCMP_EQUAL("estate/g1/a", outcome.refused[0].c_str());
    CHECK(catalog()->find(ServiceName("b")) != nullptr);
}

TEST(EstateImport, TakesWhatChangesInAServiceAndLeavesTheOthersAlone) {
    import.apply(image(5, {service("a", 1), service("b", 1), service("c", 2)}));
    ImportedService changed = service("b", 1);
    changed.latencyObjective = milliseconds(99);
    CHECK_TRUE(import.apply(image(6, {service("a", 1), changed, service("c", 2)})).changed);
    CHECK_TRUE(catalog()->find(ServiceName("b"))->settings.latencyObjective == milliseconds(99));
    CHECK_TRUE(catalog()->find(ServiceName("a"))->settings.latencyObjective == milliseconds(250));
    CHECK_FALSE(import.apply(image(7, {service("a", 1), changed, service("c", 2)})).changed);
    // Another service's rank may change what is urgent of one that stayed as it was.
    CHECK_TRUE(import.apply(image(8, {service("a", 1), changed, service("c", 0)})).changed);
    CHECK_TRUE(catalog()->find(ServiceName("a"))->settings.priority ==
               settings::Priority::Ordinary);
    CHECK_TRUE(catalog()->find(ServiceName("c"))->settings.priority == settings::Priority::Urgent);
    // One that was removed and comes back as it was is there again.
    import.apply(image(9, {changed, service("c", 0)}));
    POINTERS_EQUAL(nullptr, catalog()->find(ServiceName("a")));
    import.apply(image(10, {service("a", 1), changed, service("c", 0)}));
    CHECK(catalog()->find(ServiceName("a")) != nullptr);
}

TEST(EstateImport, TakesSubMillisecondAndOddDurations) {
    ImportedService odd = service("a", 1);
    odd.statementTimeout = milliseconds(1234);
    import.apply(image(5, {odd}));
    CHECK_TRUE(catalog()->find(ServiceName("a"))->settings.statementTimeout == milliseconds(1234));
}

}  // namespace
}  // namespace coralhoist::cluster
