/** The store of promotion records and the promotion call, over HTTP. */
#pragma once

#include "cluster/ClusterCodec.h"
#include "failover/PromotionRecord.h"
#include "link/socket/HttpClient.h"

namespace coralhoist::cluster {

/** Implements what failovers need of the outside. References outlive it. */
class StoredPromotions final : public failover::PromotionStore, public failover::PromotionCaller {
public:
    StoredPromotions(socket::HttpClient& storeClient, socket::HttpClient& promotionClient,
                     const store::ObjectProtocol& protocol, const ClusterCodec& codec,
                     NodeName self);

    void load(const GroupName& group,
              std::function<void(const failover::LoadedRecord&)> callback) override;
    void save(const GroupName& group, const failover::PromotionRecord& record,
              std::function<void(const failover::SavedRecord&)> callback) override;
    void promote(const GroupName& group, const ServerName& server, std::uint64_t fence,
                 std::function<void(failover::PromoteOutcome)> callback) override;

private:
    socket::HttpClient& _storeClient;
    socket::HttpClient& _promotionClient;
    const store::ObjectProtocol& _protocol;
    const ClusterCodec& _codec;
    NodeName _self;
};

}  // namespace coralhoist::cluster
