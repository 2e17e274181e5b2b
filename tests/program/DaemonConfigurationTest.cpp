#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "program/DaemonConfiguration.h"

namespace coralhoist::program {
namespace {

/** A file that exists as long as the object. */
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content) {
        const int descriptor = mkstemp(_path);
        close(descriptor);
        std::ofstream(_path) << content;
    }
    ~TemporaryFile() { std::remove(_path); }
    std::string path() const { return _path; }

private:
    char _path[32] = "/tmp/coralhoist-test-XXXXXX";
};

constexpr const char* kMinimal =
    "[node]\nname = \"proxy-1\"\n[platform]\nurl = \"http://127.0.0.1:9400\"\n";

std::string refusal(const std::string& content) {
    const TemporaryFile file(content);
    const auto configuration = loadDaemonConfiguration(file.path(), {});
    CHECK_FALSE(configuration.isOk());
    std::string message = configuration.isOk() ? "" : configuration.status().message();
    CHECK_EQUAL(0U, message.find(file.path()));
    return message.substr(file.path().size());
}

TEST_GROUP(DaemonConfiguration){};

TEST(DaemonConfiguration, FlagsGoBeforeTheFile) {
    const TemporaryFile file(std::string(kMinimal) +
                             "[caller]\nport = 6000\nmaximum_connections = 3\n");
    const auto configuration = loadDaemonConfiguration(
        file.path(), {{"caller.port", "7000"}, {"peer.seeds", "127.0.0.2:1,127.0.0.3:2"}});
    CHECK_TRUE(configuration.isOk());
    LONGS_EQUAL(7000, configuration.value().callerPort);
    LONGS_EQUAL(3, configuration.value().maximumConnections);
    LONGS_EQUAL(2, configuration.value().seeds.size());
}

TEST(DaemonConfiguration, TheBoundOfColdServersIsAFactorAndASlack) {
    const std::string head = "[node]\nname = \"a\"\n[platform]\nurl = \"http://127.0.0.1:9400\"\n";
    const TemporaryFile file(head + "[warmup]\noverrun = \"1.5\"\nslack = 5\n");
    const auto configuration = loadDaemonConfiguration(file.path(), {});
    CHECK_TRUE(configuration.isOk());
    DOUBLES_EQUAL(1.5, configuration.value().warmupOverrun, 1e-9);
    UNSIGNED_LONGS_EQUAL(5, configuration.value().warmupSlack);
    STRCMP_EQUAL(":6: warmup.overrun: 'much' is not a factor from 0 to 100, such as 1.5",
                 refusal(head + "[warmup]\noverrun = \"much\"\n").c_str());
}

TEST(DaemonConfiguration, EvacuationsAreKeptOnlyWhereABoundIsGiven) {
    const TemporaryFile without(kMinimal);
    CHECK_TRUE(loadDaemonConfiguration(without.path(), {}).value().evacuationBound.count() == 0);
    const TemporaryFile with(std::string(kMinimal) + "[freshness]\nevacuation_bound_ms = 5000\n");
    CHECK_TRUE(loadDaemonConfiguration(with.path(), {}).value().evacuationBound.count() == 5000);
}

TEST(DaemonConfiguration, ThePoolersConstantsAreKeys) {
    const TemporaryFile file(std::string(kMinimal) +
                             "[pool]\nexecutors_per_zone = 3\nhedge_after_ms = 250\n"
                             "on_time_percent = 60\norder_by_slot_time = 0\n");
    const auto configuration = loadDaemonConfiguration(file.path(), {});
    CHECK_TRUE(configuration.isOk());
    const pooling::PoolerKnobs& knobs = configuration.value().pooler;
    UNSIGNED_LONGS_EQUAL(3, knobs.executorsPerZone);
    CHECK(knobs.hedgeAfter == std::chrono::milliseconds(250));
    DOUBLES_EQUAL(0.6, knobs.onTimeShare, 1e-9);
    UNSIGNED_LONGS_EQUAL(0, knobs.orderBySlotTime);
    CHECK(knobs.suspectAfter == pooling::PoolerKnobs{}.suspectAfter);
    STRCMP_EQUAL(":6: pool.executors_per_zone: 0 is out of range (1 to 10000)",
                 refusal(std::string(kMinimal) + "[pool]\nexecutors_per_zone = 0\n").c_str());
}

TEST(DaemonConfiguration, ZonesNameTheirRegions) {
    const std::string head = "[node]\nname = \"a\"\nzones = ";
    const std::string tail = "\n[platform]\nurl = \"http://127.0.0.1:9400\"\n";
    const TemporaryFile file(head + "[\"n-1=north\", \"s-1=south\"]" + tail);
    const auto configuration = loadDaemonConfiguration(file.path(), {});
    CHECK_TRUE(configuration.isOk());
    CHECK_TRUE(RegionName("south") == configuration.value().zones.at(ZoneName("s-1")));
    STRCMP_EQUAL(":3: node.zones: 'n-1' is not ZONE=REGION",
                 refusal(head + "[\"n-1\"]" + tail).c_str());
    STRCMP_EQUAL(":3: node.zones: 'n-1' is given twice",
                 refusal(head + "[\"n-1=a\", \"n-1=b\"]" + tail).c_str());
}

TEST(DaemonConfiguration, WhatTheMachineCanPassOnIsText) {
    const std::string head = "[node]\nname = \"a\"\n";
    const std::string tail = "\n[platform]\nurl = \"http://127.0.0.1:9400\"\n";
    const TemporaryFile file(head + "link_mbps = \"1000.0\"\nprocessor_share = \"0.12\"" + tail);
    const auto configuration = loadDaemonConfiguration(file.path(), {});
    CHECK_TRUE(configuration.isOk());
    DOUBLES_EQUAL(1000, configuration.value().linkMbps, 1e-9);
    DOUBLES_EQUAL(0.12, configuration.value().processorShare, 1e-9);
    STRCMP_EQUAL(":3: node.link_mbps: 'fast' is not a rate from 0 to 1000000, such as 1000",
                 refusal(head + "link_mbps = \"fast\"" + tail).c_str());
    STRCMP_EQUAL(":3: node.processor_share: '-1' is not a share from 0 to 1024, such as 0.5",
                 refusal(head + "processor_share = \"-1\"" + tail).c_str());
}

TEST(DaemonConfiguration, EachFaultNamesFileLineAndKey) {
    const std::string head = kMinimal;
    STRCMP_EQUAL(":6: caller.prot: unknown key (see coralhoistd --help)",
                 refusal(head + "[caller]\nprot = 1\n").c_str());
    STRCMP_EQUAL(":6: caller.port: must be an integer",
                 refusal(head + "[caller]\nport = \"1\"\n").c_str());
    STRCMP_EQUAL(":6: caller.port: 70000 is out of range (0 to 65535)",
                 refusal(head + "[caller]\nport = 70000\n").c_str());
    STRCMP_EQUAL(":6: peer.seeds: 'host:1' is not IP:PORT",
                 refusal(head + "[peer]\nseeds = [\"host:1\"]\n").c_str());
    STRCMP_EQUAL(": platform.url: must be given", refusal("[node]\nname = \"a\"\n").c_str());
    CHECK_TRUE(refusal("[node\n").starts_with(":1: "));
}

TEST(DaemonConfiguration, MissingFileIsNamed) {
    const auto configuration = loadDaemonConfiguration("/nonexistent/coralhoistd.toml", {});
    CHECK_FALSE(configuration.isOk());
    CHECK_EQUAL(
        0U, configuration.status().message().find("/nonexistent/coralhoistd.toml: can't be read"));
}

}  // namespace
}  // namespace coralhoist::program
