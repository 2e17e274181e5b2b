/** Fixture for a shard of tenants on one node, whose store and connections are controlled by the
 * test. */
#pragma once

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tenancy/QuotaShard.h"
#include "tests/support/ManualClock.h"

namespace coralhoist::tenancy {

/** The tenant of the shard, with a bound of 185 units. */
inline const TenantName kShardTenant{"t"};
inline const TenantQuota kShardQuota{25, 25};

/** Store that completes its calls when the test says so. */
class ManualShardStore final : public QuotaShardStore {
public:
    void load(std::uint32_t /*shard*/, std::function<void(const LoadedShard&)> callback) override {
        loads.push_back(std::move(callback));
    }
    void save(std::uint32_t /*shard*/, const QuotaShardRecord& record,
              std::function<void(const SavedShard&)> callback) override {
        saved.push_back(record);
        saves.push_back(std::move(callback));
    }
    void finishLoad(const LoadedShard& response) {
        const auto callback = std::exchange(loads, {}).back();
        callback(response);
    }
    void finishSave(const SavedShard& response) {
        const auto callback = std::exchange(saves, {}).back();
        callback(response);
    }

    std::vector<std::function<void(const LoadedShard&)>> loads;
    std::vector<std::function<void(const SavedShard&)>> saves;
    std::vector<QuotaShardRecord> saved;
};

/** Records the messages to other nodes. */
class RecordingRequestSender final : public QuotaRequestSender {
public:
    bool canReach(const NodeName& /*node*/) const override { return reachable; }
    void sendQuotaRequest(const NodeName& /*node*/, std::uint64_t number,
                          const QuotaRequest& request) override {
        requests.push_back(request);
        lastNumber = number;
    }
    void updateLedger(const NodeName& /*node*/, std::uint64_t number,
                      const LedgerUpdate& update) override {
        updates.push_back(update);
        lastNumber = number;
    }

    bool reachable = true;
    std::vector<QuotaRequest> requests;
    std::vector<LedgerUpdate> updates;
    std::uint64_t lastNumber = 0;
};

/** The shard of tenant "t" on node "n1", whose store and connections are controlled by the test. */
class ShardFixture : public Utest {
public:
    testing::ManualClock clock;
    ManualShardStore store;
    RecordingRequestSender sent;
    QuotaCalls calls{sent};
    StoreEra era{clock};
    QuotaStatistics statistics;
    std::uint64_t lastCopy = 0;
    TenantDirectory tenants{1, {{kShardTenant, kShardQuota, {}}}, {}};
    std::vector<pooling::ProxyNode> peers;
    std::unique_ptr<QuotaShard> shard;
    std::vector<QuotaResponse> responses;

    void setup() override {
        shard = std::make_unique<QuotaShard>(
            ShardContext{quotaShardOf(kShardTenant),
                         {NodeName("n1"), "n1/1"},
                         clock.now(),
                         {std::chrono::seconds(5), 0.1, 20},
                         clock,
                         calls,
                         store,
                         era,
                         statistics,
                         lastCopy,
                         [this]() -> const TenantDirectory& { return tenants; },
                         [this]() -> const std::vector<pooling::ProxyNode>& { return peers; },
                         ZoneName("z")});
    }

    void ask(std::uint32_t units, bool leaderSilent = false) {
        QuotaRequest request;
        request.tenant = kShardTenant;
        request.wanted = units;
        request.usableFor = std::chrono::milliseconds(500);
        request.leaderSilent = leaderSilent;
        shard->ask(request,
                   [this](const QuotaResponse& response) { responses.push_back(response); });
    }

    static LoadedShard loadedRecord(const char* leader, const char* standby,
                                    std::uint64_t version) {
        LoadedShard loaded;
        loaded.outcome = StoreOutcome::Done;
        loaded.record.version.revision = version;
        loaded.record.leader = {NodeName(std::string(leader).substr(0, 2)), leader};
        if (*standby != 0) {
            loaded.record.standby = {NodeName(std::string(standby).substr(0, 2)), standby};
        }
        loaded.record.tenants[kShardTenant] = {{0, 40}, 30};
        return loaded;
    }

    /** A record without room for another deputy, so that each write is a claim. */
    static LoadedShard crowdedRecord(const char* leader, std::uint64_t version) {
        LoadedShard loaded = loadedRecord(leader, "", version);
        for (const char* name : {"n7", "n8", "n9"}) {
            loaded.record.deputies.push_back({{NodeName(name), name}, false, 1, {}});
        }
        return loaded;
    }

    void lead() {
        ask(1);
        LoadedShard none;
        none.outcome = StoreOutcome::Done;
        store.finishLoad(none);
        store.finishSave({StoreOutcome::Done, {0, 11}});
    }
};

}  // namespace coralhoist::tenancy
