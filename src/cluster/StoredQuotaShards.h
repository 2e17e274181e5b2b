/** The store of quota shards' records, over HTTP. */
#pragma once

#include "cluster/ClusterCodec.h"
#include "cluster/RecordCalls.h"
#include "tenancy/QuotaShardRecord.h"

namespace coralhoist::cluster {

/** Implements what quota shards need of the store. References outlive it. */
class StoredQuotaShards final : public tenancy::QuotaShardStore {
public:
    StoredQuotaShards(socket::HttpCaller& client, const store::ObjectProtocol& protocol,
                      const ClusterCodec& codec);

    void load(std::uint32_t shard,
              std::function<void(const tenancy::LoadedShard&)> callback) override;
    void save(std::uint32_t shard, const tenancy::QuotaShardRecord& record,
              std::function<void(const tenancy::SavedShard&)> callback) override;

private:
    RecordCalls _records;
    const ClusterCodec& _codec;
};

}  // namespace coralhoist::cluster
