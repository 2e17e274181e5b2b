/** In-memory store of shard records that calls back synchronously. */
#pragma once

#include <functional>
#include <map>

#include "tenancy/QuotaShardRecord.h"

namespace coralhoist::tenancy {

/** Each write gives the record a new, higher version. */
class InstantShardStore final : public QuotaShardStore {
public:
    void load(std::uint32_t shard, std::function<void(const LoadedShard&)> callback) override {
        callback({outcome, records[shard]});
    }

    void save(std::uint32_t shard, const QuotaShardRecord& record,
              std::function<void(const SavedShard&)> callback) override {
        ++saves;
        QuotaShardRecord& stored = records[shard];
        if (outcome != StoreOutcome::Done) {
            callback({outcome, {}});
        } else if (stored.version != record.version) {
            callback({StoreOutcome::Conflict, {}});
        } else {
            stored = record;
            stored.version.revision = ++version;
            callback({StoreOutcome::Done, stored.version});
        }
    }

    /** Outcome of each call. */
    StoreOutcome outcome = StoreOutcome::Done;
    std::map<std::uint32_t, QuotaShardRecord> records;
    std::uint64_t version = 0;
    std::size_t saves = 0;
};

}  // namespace coralhoist::tenancy
