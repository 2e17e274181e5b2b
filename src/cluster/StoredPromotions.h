/** The store of promotion records and the promotion call, over HTTP. */
#pragma once

#include "cluster/ClusterCodec.h"
#include "cluster/RecordCalls.h"
#include "failover/PromotionRecord.h"
#include "link/socket/HttpCaller.h"

namespace coralhoist::cluster {

/** Implements what failovers need of the outside. References outlive it. */
class StoredPromotions final : public failover::PromotionStore, public failover::PromotionCaller {
public:
    StoredPromotions(socket::HttpCaller& storeClient, socket::HttpCaller& promotionClient,
                     const store::ObjectProtocol& protocol, const ClusterCodec& codec,
                     NodeName self);

    void load(const GroupName& group,
              std::function<void(const failover::LoadedRecord&)> callback) override;
    void save(const GroupName& group, const failover::PromotionRecord& record,
              std::function<void(const failover::SavedRecord&)> callback) override;
    void promote(const failover::PromotionCall& call,
                 std::function<void(failover::PromoteOutcome)> callback) override;

private:
    RecordCalls _records;
    socket::HttpCaller& _promotionClient;
    const ClusterCodec& _codec;
    NodeName _self;
};

}  // namespace coralhoist::cluster
