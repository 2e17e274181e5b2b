#include "cluster/StoredQuotaShards.h"

#include <string>
#include <utility>

namespace coralhoist::cluster {
namespace {

std::string nameOf(std::uint32_t shard) {
    return "shard-" + std::to_string(shard);
}

}  // namespace

StoredQuotaShards::StoredQuotaShards(socket::HttpCaller& client,
                                     const store::ObjectProtocol& protocol,
                                     const ClusterCodec& codec)
    : _records{client, protocol, codec.kinds().quotaShards}, _codec(codec) {}

void StoredQuotaShards::load(std::uint32_t shard,
                             std::function<void(const tenancy::LoadedShard&)> callback) {
    _records.load<tenancy::LoadedShard>(
        nameOf(shard),
        [this](const store::StoredObject& object) { return _codec.readQuotaShard(object); },
        std::move(callback));
}

void StoredQuotaShards::save(std::uint32_t shard, const tenancy::QuotaShardRecord& record,
                             std::function<void(const tenancy::SavedShard&)> callback) {
    _records.save<tenancy::SavedShard>(_codec.writeQuotaShard(nameOf(shard), record),
                                       std::move(callback));
}

}  // namespace coralhoist::cluster
